#include "gooseberrymoor/base/internal/assertion_listener.h"

#include <boost/assert.hpp>

#include <cstdio>
#include <cstdlib>

namespace gooseberrymoor {

namespace {

assertion_listener assertionListener = nullptr;

} // namespace

void setAssertionListener(assertion_listener listener)
{
    assertionListener = listener;
}

} // namespace gooseberrymoor

// Called by Boost, which declares it, because BOOST_ENABLE_ASSERT_HANDLER is defined.
void boost::assertion_failed(const char *expr, const char * /*function*/, const char *file,
                             long line)
{
    if (gooseberrymoor::assertionListener)
        gooseberrymoor::assertionListener({ expr, file, line });
    else
        std::fprintf(stderr, "%s:%ld: assertion failed: %s\n", file, line, expr);
    std::abort();
}

// The same for assertions with a message.
void boost::assertion_failed_msg(const char *expr, const char * /*msg*/, const char *function,
                                 const char *file, long line)
{
    boost::assertion_failed(expr, function, file, line);
}
