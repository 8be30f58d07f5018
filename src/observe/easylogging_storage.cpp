// Storage of the logging library. It is linked into the library's own archive, which refers to it.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
