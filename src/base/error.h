#ifndef WASABILINK_BASE_ERROR_H
#define WASABILINK_BASE_ERROR_H

#include <glib.h>

/*
 * error - typed failures.
 *
 * Every function that can fail takes a GError ** as its last argument and
 * sets the domain WL_ERROR with one of the codes below. Callers decide by the
 * code; the message is for people and may change.
 */
typedef enum error_code {
	WL_ERROR_INVALID, /* malformed input or setting */
	WL_ERROR_TOO_LARGE, /* input above a configured limit */
	WL_ERROR_NOT_FOUND,
	WL_ERROR_CONFLICT, /* conditional update lost to another writer */
	WL_ERROR_UNAVAILABLE, /* not done; try again later */
	WL_ERROR_RATE_LIMITED, /* not done; above a rate */
	WL_ERROR_TIMEOUT, /* no answer in time; the effect is unknown */
	WL_ERROR_TRUNCATED, /* the peer ended before the answer was whole */
	WL_ERROR_REFUSED, /* connection refused; nothing was sent */
	WL_ERROR_CANCELLED,
	WL_ERROR_PERMISSION,
	WL_ERROR_PROTOCOL, /* the peer broke the protocol */
	WL_ERROR_INTERNAL,
	WL_ERROR_COUNT
} error_code_t;

#define WL_ERROR error_quark()

GQuark error_quark(void);

/* Stable lower-case name of a code, as used in logs and answers. */
const char *error_name(error_code_t code);

#endif
