#ifndef LIB_TIMESTAMP_H
#define LIB_TIMESTAMP_H

#include <stddef.h>
#include <time.h>

#define TIMESTAMP_SIZE 40 /* bytes of a formatted time */

void timestamp_format(const struct timespec *at, char *buf, size_t size);

#endif /* LIB_TIMESTAMP_H */
