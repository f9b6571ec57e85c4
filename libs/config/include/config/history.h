#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/ids.h"

/// \file
/// The audit trail: a chain of accepted patches, and the head record in the platform's store that
/// holds its newest part. The head record is changed by compare-and-swap only; that swap is the
/// one moment at which a patch is accepted.

namespace knapweedknot {

/// One accepted patch. Each entry names the hash of the one before.
struct history_entry {
    config_number number;
    /// Number that the patch was written against.
    config_number base;
    /// Operator that submitted the patch.
    std::string author;
    /// UTC time of acceptance, ISO 8601.
    std::string accepted_at;
    /// Random, chosen by the submitter; finds one's own patch after a lost answer.
    std::string patch_id;
    /// SHA-256 of the entry before; empty for the first.
    std::string previous_hash;
    /// RFC 7396 merge patch.
    nlohmann::json patch;
};

/// Where the older part of the history and the document at its end are kept.
struct snapshot_reference {
    config_number number;
    /// Keys of the values whose concatenation is the document.
    std::vector<std::string> chunk_keys;
    /// Key of the newest archived part of the history; empty when there is none.
    std::string archive_key;
    /// Hash of the last archived entry.
    std::string last_hash;
};

/// Value of the head record.
struct history_head {
    snapshot_reference snapshot;
    /// Entries after the snapshot, oldest first, without gaps.
    std::vector<history_entry> tail;

    /// Newest accepted number.
    [[nodiscard]] config_number number() const noexcept;
    /// Hash of the newest entry.
    [[nodiscard]] std::string last_hash() const;
};

/// SHA-256 of an entry's text form, as hexadecimal digits. Thread safe.
[[nodiscard]] std::string hash_of(const history_entry& entry);

[[nodiscard]] nlohmann::json to_json(const history_entry& entry);
[[nodiscard]] result<history_entry> entry_from_json(const nlohmann::json& source);

/// Text form of the head record. Thread safe.
[[nodiscard]] std::string encode_head(const history_head& head);
/// Parses a head record and checks that numbers and hashes form a chain. Thread safe.
[[nodiscard]] result<history_head> decode_head(std::string_view text);

/// An archived part of the history.
struct history_archive {
    /// Key of the part before; empty for the first.
    std::string previous_key;
    /// Oldest first.
    std::vector<history_entry> entries;
};

/// Text form of an archived part, and back. Thread safe.
[[nodiscard]] std::string encode_archive(const history_archive& archive);
[[nodiscard]] result<history_archive> decode_archive(std::string_view text);

/// Problem in the chain that starts after \p previous_hash, or an empty text. Thread safe.
[[nodiscard]] std::string find_chain_problem(const std::vector<history_entry>& entries,
                                             std::string previous_hash);

} // namespace knapweedknot
