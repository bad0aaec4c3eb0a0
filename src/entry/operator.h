#ifndef WASABILINK_ENTRY_OPERATOR_H
#define WASABILINK_ENTRY_OPERATOR_H

#include "entry/entry.h"

/*
 * operator - GET /status and GET /timeline?since=<ms> on the operator port.
 *
 * /status shows the node, its members and its configuration version without
 * authentication, and a partner's runners only with that partner's operator
 * key. /timeline requires an operator key and omits lines that contain the name
 * of another partner or of its workspaces, deployments or services.
 *
 * operator_handle() returns false when the path is neither of them.
 */
bool operator_handle(entry_t *entry, http_exchange_t *exchange);

/* Returns whether a log line contains a name that belongs to another partner
 * than the given one, and not also to that one. */
bool operator_line_names_other_partner(const document_t *document,
				       const document_partner_t *partner,
				       const char *line);

#endif
