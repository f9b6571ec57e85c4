#pragma once

#include "commands.h"

/// \file
/// Checks a configuration document of the users' platform before it is sent.

namespace knapweedknot {

/// "check FILE [--against FILE]": prints errors, warnings and notes with their places, and what
/// differs from the document in force. Contacts no instance. Returns exit_success, exit_refused if
/// there are errors, or exit_usage if a file cannot be read.
[[nodiscard]] int run_check(const command_input& input);

} // namespace knapweedknot
