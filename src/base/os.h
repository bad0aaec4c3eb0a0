#ifndef WASABILINK_BASE_OS_H
#define WASABILINK_BASE_OS_H

/* os - the few calls that differ between platforms. */

/* Raises the number of files that the process may open to the hard limit:
 * every stream holds two connections. */
void os_raise_file_limit(void);

#endif
