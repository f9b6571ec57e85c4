#pragma once

#include <string>
#include <vector>

#include "operator_client/operator_client.h"

/// \file
/// The commands of the operators' tool. Each prints its result and returns an exit code.

namespace knapweedknot {

/// What the command line says.
struct command_input {
    operator_endpoint target;
    /// Words after the command's name.
    std::vector<std::string> arguments;
    /// Number that a patch was written against; empty for the present one.
    std::string base;
    std::string after;
    std::string key;
    bool json{false};
};

/// Makes the configuration equal to a file, but for keys of accounts that list none.
[[nodiscard]] int run_apply(const command_input& input);
/// Submits a file as a merge patch, or as a JSON patch when it holds an array.
[[nodiscard]] int run_patch(const command_input& input);
/// Shows what apply would change, as a merge patch.
[[nodiscard]] int run_diff(const command_input& input);
[[nodiscard]] int run_show(const command_input& input);
[[nodiscard]] int run_history(const command_input& input);
/// Like history, and checks the chain of hashes from its start.
[[nodiscard]] int run_audit(const command_input& input);
[[nodiscard]] int run_status(const command_input& input);
[[nodiscard]] int run_addresses(const command_input& input);
/// "key add ACCOUNT" and "key withdraw ACCOUNT KEYID".
[[nodiscard]] int run_key(const command_input& input);
[[nodiscard]] int run_drain(const command_input& input);

} // namespace knapweedknot
