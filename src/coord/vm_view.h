#ifndef WASABILINK_COORD_VM_VIEW_H
#define WASABILINK_COORD_VM_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "object/object_store.h"

/*
 * vm_view - a copy of the platform's VM list with a sequence number of changes,
 * so that a watcher can send others only what changed.
 *
 * A view is identified by its watcher's random id. A sequence number is valid
 * only within its view.
 */
typedef struct vm_view vm_view_t;

vm_view_t *vm_view_new(uint64_t id);
void vm_view_free(vm_view_t *view);
uint64_t vm_view_id(const vm_view_t *view);
uint64_t vm_view_sequence(const vm_view_t *view);

/* Replaces the list by the one read; returns whether it changed. */
bool vm_view_update(vm_view_t *view, const GArray *vms);

/*
 * Calls changed and removed for the differences since the sequence number.
 * Returns false and calls nothing when the sequence number is not of this view
 * or too old; the caller then sends the complete list (since 0).
 */
typedef void (*vm_view_changed_t)(const platform_vm_t *vm, void *user_data);
typedef void (*vm_view_removed_t)(const char *address, void *user_data);
bool vm_view_since(const vm_view_t *view, uint64_t id, uint64_t sequence,
		   vm_view_changed_t changed, vm_view_removed_t removed,
		   void *user_data);

/* For the receiver: takes over the sender's id and sequence number, then the
 * entries. */
void vm_view_reset(vm_view_t *view, uint64_t id);
void vm_view_set_sequence(vm_view_t *view, uint64_t sequence);
void vm_view_put(vm_view_t *view, const platform_vm_t *vm);
void vm_view_remove(vm_view_t *view, const char *address);

/* Returns the list as an array of platform_vm_t, valid until the next
 * change. */
const GArray *vm_view_vms(vm_view_t *view);

#endif
