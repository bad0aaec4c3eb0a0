/*
 * Preloaded into processes under test: cuts their traffic to the ports that the
 * file $CUT_TRAFFIC lists, a line each: "PORT" or "PORT KIND HOLE". The kinds:
 *
 *   (none)   what is sent is swallowed; connections still open
 *   silent   as a network partition: connects hang, as they go to the port HOLE
 *            that takes none, and nothing arrives on open connections
 *   refused  connects are refused, and open connections go on
 *   reset    connects are refused, and open connections break when used
 *
 * Connections come from the address $CUT_SOURCE, so that servers can tell the
 * processes apart.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define WATCHED_MAX 65536
#define NEXT(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))

typedef enum cut_kind {
	CUT_NONE,
	CUT_DROPPED,
	CUT_SILENT,
	CUT_REFUSED,
	CUT_RESET,
} cut_kind_t;

typedef struct cut {
	cut_kind_t kind;
	uint16_t hole;
} cut_t;

typedef struct watched {
	int epoll;
	struct epoll_event event;
} watched_t;

static watched_t watched[WATCHED_MAX];

static cut_kind_t kind_of(const char *name)
{
	return !*name			    ? CUT_DROPPED :
	       strcmp(name, "silent") == 0  ? CUT_SILENT :
	       strcmp(name, "refused") == 0 ? CUT_REFUSED :
					      CUT_RESET;
}

static cut_t cut_of_port(unsigned int port)
{
	const char *path = getenv("CUT_TRAFFIC");
	FILE *file = path ? fopen(path, "r") : NULL;
	cut_t cut = { CUT_NONE, 0 };
	char line[64];

	while (file && cut.kind == CUT_NONE &&
	       fgets(line, sizeof(line), file)) {
		unsigned int listed = 0, hole = 0;
		char kind[16] = "";

		if (sscanf(line, "%u %15s %u", &listed, kind, &hole) >= 1 &&
		    listed == port)
			cut = (cut_t){ kind_of(kind), (uint16_t)hole };
	}
	if (file)
		fclose(file);
	return cut;
}

static cut_t cut_of(const struct sockaddr *address)
{
	const struct sockaddr_in *in = (const void *)address;

	return in->sin_family == AF_INET ? cut_of_port(ntohs(in->sin_port)) :
					   (cut_t){ CUT_NONE, 0 };
}

static cut_kind_t cut_of_socket(int fd)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0)
		return CUT_NONE;
	return cut_of((struct sockaddr *)&peer).kind;
}

static void bind_source(int fd)
{
	const char *source = getenv("CUT_SOURCE");
	struct sockaddr_in in = { .sin_family = AF_INET };
	int on = 1;

	if (!source || inet_pton(AF_INET, source, &in.sin_addr) != 1)
		return;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0)
		perror("cut_traffic: bind");
}

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	struct sockaddr_in in;
	cut_t cut = cut_of(address);

	if (address->sa_family != AF_INET)
		return NEXT(connect)(fd, address, len);
	if (cut.kind == CUT_REFUSED || cut.kind == CUT_RESET) {
		errno = ECONNREFUSED;
		return -1;
	}
	bind_source(fd);
	memcpy(&in, address, sizeof(in));
	if (cut.kind == CUT_SILENT)
		in.sin_port = htons(cut.hole);
	return NEXT(connect)(fd, (struct sockaddr *)&in, sizeof(in));
}

int epoll_ctl(int epoll, int op, int fd, struct epoll_event *event)
{
	if (op != EPOLL_CTL_DEL && fd < WATCHED_MAX)
		watched[fd] = (watched_t){ epoll, *event };
	return NEXT(epoll_ctl)(epoll, op, fd, event);
}

/* Puts a socket in place of the connection on which nothing happens any more.
 * The connection stays open, so that its peer does not notice. */
static void silence(int fd)
{
	int pair[2];

	if (fd >= WATCHED_MAX || dup(fd) < 0 ||
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) != 0) {
		perror("cut_traffic: silence");
		return;
	}
	NEXT(epoll_ctl)(watched[fd].epoll, EPOLL_CTL_DEL, fd, NULL);
	dup2(pair[0], fd);
	close(pair[0]);
	NEXT(epoll_ctl)
	(watched[fd].epoll, EPOLL_CTL_ADD, fd, &watched[fd].event);
}

/* Whether the connection breaks now. */
static bool apply_cut(int fd, cut_kind_t kind)
{
	struct linger at_once = { 1, 0 };

	if (kind == CUT_SILENT)
		silence(fd);
	if (kind != CUT_RESET)
		return false;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	errno = ECONNRESET;
	return true;
}

ssize_t sendto(int fd, const void *data, size_t len, int flags,
	       const struct sockaddr *to, socklen_t to_len)
{
	return to && cut_of(to).kind != CUT_NONE ?
		       (ssize_t)len :
		       NEXT(sendto)(fd, data, len, flags, to, to_len);
}

ssize_t readv(int fd, const struct iovec *parts, int count)
{
	return apply_cut(fd, cut_of_socket(fd)) ? -1 :
						  NEXT(readv)(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
	cut_kind_t kind = cut_of_socket(fd);
	ssize_t len = 0;

	if (apply_cut(fd, kind))
		return -1;
	if (kind != CUT_DROPPED)
		return NEXT(writev)(fd, parts, count);
	for (int i = 0; i < count; i++)
		len += (ssize_t)parts[i].iov_len;
	return len;
}
