#ifndef WASABILINK_CONFIG_DOCUMENT_H
#define WASABILINK_CONFIG_DOCUMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * document - the configuration document of one environment, parsed and
 * validated (docs/design.md, configuration document). Immutable after parsing;
 * shared by reference count.
 */
#define DOCUMENT_DIGEST_HEX 64

typedef struct document_limits {
	int64_t max_concurrent; /* 0: unlimited */
	int64_t tokens_per_minute; /* 0: unlimited */
} document_limits_t;

typedef struct document_workspace {
	char *name;
	double weight;
} document_workspace_t;

typedef struct document_route {
	char *path;
	bool repeatable;
} document_route_t;

typedef struct document_service {
	char *name;
	GPtrArray *routes; /* document_route_t */
} document_service_t;

typedef struct document_deployment {
	char *name;
	char *model;
	char *adapter;
	char *version;
	bool fencing; /* its engines check the fencing token */
	int64_t min_serving;
	document_limits_t limits;
} document_deployment_t;

typedef struct document_partner document_partner_t;

/* A caller or, with is_operator, an operator. */
typedef struct document_caller {
	char *name;
	char key_sha256[DOCUMENT_DIGEST_HEX + 1];
	document_partner_t *partner;
	document_workspace_t *workspace; /* NULL for an operator */
	document_limits_t limits;
	bool is_operator;
} document_caller_t;

struct document_partner {
	char *name;
	document_limits_t limits;
	GPtrArray *workspaces; /* document_workspace_t */
	GHashTable *workspaces_by_name;
	GPtrArray *callers; /* document_caller_t, operators included */
	GPtrArray *deployments; /* document_deployment_t */
	GPtrArray *services; /* document_service_t */
};

typedef struct document {
	gint references;
	char digest[DOCUMENT_DIGEST_HEX + 1]; /* SHA-256 of the bytes */
	GPtrArray *partners; /* document_partner_t */
	GHashTable *callers_by_key; /* key_sha256 -> document_caller_t */
} document_t;

/*
 * Errors: WL_ERROR_INVALID, with a message such as
 * "partners.guild.callers[3].workspace, line 41: there is no workspace 'w'".
 */
document_t *document_parse(const char *text, size_t len, GError **error);
document_t *document_ref(document_t *document);
void document_unref(document_t *document);

const document_partner_t *document_find_partner(const document_t *document,
						const char *name);
const document_workspace_t *
document_find_workspace(const document_partner_t *partner, const char *name);
const document_deployment_t *
document_find_deployment(const document_partner_t *partner, const char *name);
const document_service_t *
document_find_service(const document_partner_t *partner, const char *name);
const document_route_t *document_find_route(const document_service_t *service,
					    const char *path);

/*
 * Finds the caller of a bearer key. The key is hashed and looked up by its
 * digest; the digest is then compared in constant time.
 */
const document_caller_t *document_authenticate(const document_t *document,
					       const char *key);

#endif
