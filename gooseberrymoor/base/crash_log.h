#pragma once

#include <string_view>

namespace gooseberrymoor {

// Makes this process write one line to standard output before it ends by a failed assertion, an
// exception that nothing caught, or a fatal signal, in the format of the other log lines:
//   <time> FATAL node=<nodeName> event=process_crashed reason=... detail="..." place=...
// `reason` is a `crash_reason`. `detail` is the condition that did not hold, the exception's text
// or the signal's name. `place` is "file:line" of an assertion, and "unknown" otherwise. The line
// is written without allocating memory and without blocking, and is dropped if the reader has no
// room for it. The process then ends as it would have without it. Call it once, before other
// threads start.
void installCrashLog(std::string_view nodeName);

} // namespace gooseberrymoor
