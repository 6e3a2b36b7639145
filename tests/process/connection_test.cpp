#include "deployment.h"
