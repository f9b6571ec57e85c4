#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/ids.h"

/// \file
/// The audit log: a hash chain of accepted patches. Its newest part is in the head record in the
/// platform's store. The head record is changed only by compare-and-swap; a patch is accepted when
/// its compare-and-swap succeeds.

namespace knapweedknot {

/// One accepted patch, linked to the previous entry by its hash.
struct history_entry {
    config_number number;
    /// Configuration number that the patch was written against.
    config_number base;
    /// Operator that submitted the patch.
    std::string author;
    /// UTC time of acceptance, ISO 8601.
    std::string accepted_at;
    /// Random id chosen by the submitter, who can find the patch by it when the response was lost.
    std::string patch_id;
    /// SHA-256 of the previous entry; empty for the first.
    std::string previous_hash;
    /// RFC 7396 merge patch.
    nlohmann::json patch;
};

/// Store keys of the archived history and of the configuration document at its end.
struct snapshot_reference {
    /// Number of the configuration in the document.
    config_number number;
    /// Keys of the values whose concatenation is the document.
    std::vector<std::string> chunk_keys;
    /// Key of the newest archive; empty when there is none.
    std::string archive_key;
    /// Hash of the last archived entry.
    std::string last_hash;
};

/// Value of the head record.
struct history_head {
    snapshot_reference snapshot;
    /// Entries after the snapshot, oldest first, numbered without gaps.
    std::vector<history_entry> tail;

    /// Number of the newest accepted entry.
    [[nodiscard]] config_number number() const noexcept;
    /// Hash of the newest accepted entry.
    [[nodiscard]] std::string last_hash() const;
};

/// Returns the SHA-256 of an entry's JSON text, as hexadecimal digits. Thread safe.
[[nodiscard]] std::string hash_of(const history_entry& entry);

/// Converts an entry to JSON. Thread safe.
[[nodiscard]] nlohmann::json to_json(const history_entry& entry);
/// Parses an entry; invalid_value when a field is missing or has the wrong type. Thread safe.
[[nodiscard]] result<history_entry> entry_from_json(const nlohmann::json& source);

/// Serializes a head record as JSON text. Thread safe.
[[nodiscard]] std::string encode_head(const history_head& head);
/// Parses a head record; invalid_value when it is malformed or its numbers and hashes form no
/// chain. Thread safe.
[[nodiscard]] result<history_head> decode_head(std::string_view text);

/// Consecutive entries moved from the head record to a value of their own, linked to the previous
/// archive by its key.
struct history_archive {
    /// Key of the previous archive; empty for the first.
    std::string previous_key;
    /// Oldest first.
    std::vector<history_entry> entries;
};

/// Serializes an archive as JSON text. Thread safe.
[[nodiscard]] std::string encode_archive(const history_archive& archive);
/// Parses an archive; invalid_value when it is malformed. Does not check the chain. Thread safe.
[[nodiscard]] result<history_archive> decode_archive(std::string_view text);

/// Describes the first break in the chain of \p entries, whose first must follow \p previous_hash;
/// empty when there is none. Thread safe.
[[nodiscard]] std::string find_chain_problem(const std::vector<history_entry>& entries,
                                             std::string previous_hash);

} // namespace knapweedknot
