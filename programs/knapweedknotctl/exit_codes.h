#pragma once

/// \file
/// Exit codes of the operators' tool. Scripts rely on them, so their values must not change.

namespace knapweedknot {

inline constexpr int exit_success = 0;
/// The instance refused the command, or `check` found errors.
inline constexpr int exit_refused = 1;
/// The command line or an input file is invalid.
inline constexpr int exit_usage = 2;
/// Another patch was accepted since the base number.
inline constexpr int exit_conflict = 3;
/// The instance cannot be reached.
inline constexpr int exit_unreachable = 4;
/// It is not known whether the patch was accepted.
inline constexpr int exit_outcome_unknown = 5;
/// `diff` found differences.
inline constexpr int exit_differs = 6;

} // namespace knapweedknot
