#ifndef WASABILINK_BASE_OS_H
#define WASABILINK_BASE_OS_H

/* os - the few calls that differ between platforms. */

/* Raises the number of files that the process may open to the hard limit:
 * every stream holds two connections. */
void os_raise_file_limit(void);

/* Makes the allocator return large blocks to the system when they are freed. By
 * default it raises the size from which it does so with each such block. */
void os_return_large_blocks(void);

#endif
