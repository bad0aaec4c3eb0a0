#include "base/error.h"

static const char *const names[WL_ERROR_COUNT] = {
	[WL_ERROR_INVALID] = "invalid",
	[WL_ERROR_TOO_LARGE] = "too_large",
	[WL_ERROR_NOT_FOUND] = "not_found",
	[WL_ERROR_CONFLICT] = "conflict",
	[WL_ERROR_UNAVAILABLE] = "unavailable",
	[WL_ERROR_RATE_LIMITED] = "rate_limited",
	[WL_ERROR_TIMEOUT] = "timeout",
	[WL_ERROR_TRUNCATED] = "truncated",
	[WL_ERROR_REFUSED] = "refused",
	[WL_ERROR_CANCELLED] = "cancelled",
	[WL_ERROR_PERMISSION] = "permission",
	[WL_ERROR_PROTOCOL] = "protocol",
	[WL_ERROR_INTERNAL] = "internal",
};

GQuark error_quark(void)
{
	return g_quark_from_static_string("wasabilink-error");
}

const char *error_name(error_code_t code)
{
	if ((unsigned int)code >= WL_ERROR_COUNT)
		return "unknown";
	return names[code];
}
