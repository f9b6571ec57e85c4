#pragma once

#include <string>
#include <vector>

#include "operator_client/operator_client.h"

/// \file
/// Commands of the operators' tool. Each prints its result and returns an exit code (exit_codes.h).

namespace knapweedknot {

/// Parsed command line.
struct command_input {
    operator_endpoint target;
    /// Arguments after the name of the command.
    std::vector<std::string> arguments;
    /// Configuration number that the patch is based on; empty for the current number.
    std::string base;
    /// `history` lists only patches after this configuration number; empty for all.
    std::string after;
    /// Document that `check` compares with; empty for none.
    std::string against;
    /// API key of a caller, for `addresses`.
    std::string key;
    bool json{false};
};

/// Makes the configuration equal to a file. Accounts that list no keys in the file keep their keys.
[[nodiscard]] int run_apply(const command_input& input);
/// Submits a file as a JSON Patch if it holds an array, as a JSON Merge Patch otherwise.
[[nodiscard]] int run_patch(const command_input& input);
/// Prints the JSON Merge Patch that `apply` would submit.
[[nodiscard]] int run_diff(const command_input& input);
[[nodiscard]] int run_show(const command_input& input);
[[nodiscard]] int run_history(const command_input& input);
/// Prints the whole history and verifies its hash chain from the first entry.
[[nodiscard]] int run_audit(const command_input& input);
[[nodiscard]] int run_status(const command_input& input);
[[nodiscard]] int run_addresses(const command_input& input);
/// Handles "key add ACCOUNT" and "key withdraw ACCOUNT KEYID".
[[nodiscard]] int run_key(const command_input& input);
[[nodiscard]] int run_drain(const command_input& input);

} // namespace knapweedknot
