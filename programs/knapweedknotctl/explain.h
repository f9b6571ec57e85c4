#pragma once

#include "commands.h"

/// \file
/// Explains the outcome of a request from logs alone.

namespace knapweedknot {

/// "explain REQUEST-ID [FILE ...]": prints the events of the request on all instances and the cause
/// of its outcome, read from log files or standard input. Contacts no instance.
[[nodiscard]] int run_explain(const command_input& input);

} // namespace knapweedknot
