#pragma once

#include "commands.h"

/// \file
/// Shows the evacuation orders that an instance follows.

namespace knapweedknot {

/// "evacuations": prints the evacuated failure domains, how long the instance has known of each
/// evacuation, and the age of the confirmation, from the metrics address of an instance.
[[nodiscard]] int run_evacuations(const command_input& input);

} // namespace knapweedknot
