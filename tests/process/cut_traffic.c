/*
 * Preloaded into processes under test: swallows what they send to the ports
 * that the file $CUT_TRAFFIC lists, one a line, as a network partition does.
 * Connections still open, and nothing that is sent on them arrives.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>

static bool is_listed(unsigned int port)
{
	const char *path = getenv("CUT_TRAFFIC");
	FILE *file = path ? fopen(path, "r") : NULL;
	unsigned int listed;
	bool found = false;

	if (!file)
		return false;
	while (!found && fscanf(file, "%u", &listed) == 1)
		found = listed == port;
	fclose(file);
	return found;
}

static bool is_cut(const struct sockaddr *address)
{
	const struct sockaddr_in *in = (const void *)address;

	return in->sin_family == AF_INET && is_listed(ntohs(in->sin_port));
}

static bool is_cut_socket(int fd)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	return getpeername(fd, (struct sockaddr *)&peer, &len) == 0 &&
	       is_cut((struct sockaddr *)&peer);
}

ssize_t sendto(int fd, const void *data, size_t len, int flags,
	       const struct sockaddr *to, socklen_t to_len)
{
	ssize_t (*next)(int, const void *, size_t, int, const struct sockaddr *,
			socklen_t) = dlsym(RTLD_NEXT, "sendto");

	return to && is_cut(to) ? (ssize_t)len :
				  next(fd, data, len, flags, to, to_len);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
	ssize_t (*next)(int, const struct iovec *, int) =
		dlsym(RTLD_NEXT, "writev");
	ssize_t len = 0;

	if (!is_cut_socket(fd))
		return next(fd, parts, count);
	for (int i = 0; i < count; i++)
		len += (ssize_t)parts[i].iov_len;
	return len;
}
