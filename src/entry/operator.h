#ifndef WASABILINK_ENTRY_OPERATOR_H
#define WASABILINK_ENTRY_OPERATOR_H

#include "entry/entry.h"

/*
 * operator - GET /status and GET /timeline?since=<ms> on the operator port.
 *
 * /status shows the node, its members and its configuration version to
 * anybody on that port, and a partner's runners only with that partner's
 * operator key. /timeline needs an operator key and leaves out lines that name
 * another partner or what belongs to it.
 *
 * Returns false when the path is not one of these.
 */
bool operator_handle(entry_t *entry, http_exchange_t *exchange);

/* Whether a log line tells of another partner than this one. */
bool operator_line_names_other_partner(const document_t *document,
			      const document_partner_t *partner,
			      const char *line);

#endif
