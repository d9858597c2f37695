// The implementation of Boost.JSON, which is not linked as a library.
#include <boost/json/src.hpp>
