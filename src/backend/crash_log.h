#ifndef WASABILINK_BACKEND_CRASH_LOG_H
#define WASABILINK_BACKEND_CRASH_LOG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * crash_log - the last crashes of runners, and the prompt parts of the requests
 * that each was about to answer, or the requests themselves.
 *
 * Nodes that report the same crash add to the same entry, so it counts once
 * however often it is reported. Entries are ordered by time; a full log drops
 * the oldest. Times are in microseconds, of one clock.
 *
 * Where a proxy accepts connections for a runner that is down, requests to it are
 * lost as by another crash, for as long as it is down. A crash of a runner of which
 * nothing was seen since its crash before is unproven.
 */
#define CRASH_LOG_MAX 64
/* A runner that has ended takes longer than this to start again. Other nodes
 * notice its end within that time. */
#define CRASH_RESTART_MIN_US 1500000
#define CRASH_SUSPECTS_MAX 24

typedef struct crash_suspect {
	uint64_t part;
	uint32_t depth; /* position of the part in the prompt */
	bool running; /* the runner had begun to process the request */
	bool repeated; /* also a suspect of an earlier crash */
	bool sound; /* a request that had a complete answer shortly before */
	/* All requests with the part were sent to the runner after others were
	 * lost with the part at the same moment; known to the node that sent
	 * them. */
	bool sent_again;
	/* The runner has begun no request with the part before this time: when the
	 * first one was sent, or when another node noticed the crash with it. 0: not
	 * known. */
	int64_t begun_us;
} crash_suspect_t;

typedef struct crash {
	uint64_t runner; /* key of the runner that has ended */
	int64_t at_us;
	crash_suspect_t suspects[CRASH_SUSPECTS_MAX];
	uint32_t count;
	bool survived; /* the runner goes on with earlier requests: no crash */
	bool seen_after; /* the runner was up after it */
	bool unproven; /* the runner may be down since its crash before */
	bool own_links; /* no other node has told of it */
	uint32_t sends_left; /* reports to other nodes that are still to come */
	bool told; /* other nodes have had one */
} crash_t;

typedef struct crash_log {
	crash_t *crashes; /* oldest first; NULL before the first one */
	uint32_t count;
} crash_log_t;

/* All zero is an empty log. */
void crash_log_clear(crash_log_t *log);

/* Returns the entry of the runner's crash at about this time, or a new one. The
 * pointer is valid until the next call. */
crash_t *crash_log_note(crash_log_t *log, uint64_t runner, int64_t at_us);
/* The crash was at an earlier time than it was noted for. Removes the suspects that
 * the runner had not begun by then. Returns the entry, which may have moved. */
crash_t *crash_log_predate(crash_log_t *log, crash_t *crash, int64_t at_us);
/* The runner was up at a time: it has answered a request that was sent then, or has
 * started. */
void crash_log_seen(crash_log_t *log, uint64_t runner, int64_t at_us);
/* The crash was none. */
void crash_log_survived(crash_log_t *log, crash_t *crash);
/* Returns the runner's last entry, or NULL. */
crash_t *crash_log_find(crash_log_t *log, uint64_t runner);
void crash_log_expire(crash_log_t *log, int64_t before_us);

/* Adds a suspect. Returns false when it is known or the entry is full; suspects
 * that were running or are repeated replace others then. */
bool crash_add_suspect(crash_t *crash, const crash_suspect_t *suspect);
/* Returns the suspect with this part, or NULL. */
const crash_suspect_t *crash_suspect(const crash_t *crash, uint64_t part);

#endif
