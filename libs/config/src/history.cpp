#include "config/history.h"

#include <utility>

#include "base/digest.h"

namespace knapweedknot {

namespace {

nlohmann::json entries_to_json(const std::vector<history_entry>& entries) {
    nlohmann::json list = nlohmann::json::array();
    for (const history_entry& entry : entries) {
        list.push_back(to_json(entry));
    }
    return list;
}

result<std::vector<history_entry>> entries_from_json(const nlohmann::json& source) {
    std::vector<history_entry> entries;
    for (const nlohmann::json& item : source) {
        auto entry = entry_from_json(item);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        entries.push_back(std::move(*entry));
    }
    return entries;
}

result<history_head> head_from_json(const nlohmann::json& source) {
    history_head head;
    const nlohmann::json& snapshot = source.at("snapshot");
    head.snapshot.number.value = snapshot.at("number").get<std::uint64_t>();
    head.snapshot.chunk_keys = snapshot.at("chunk_keys").get<std::vector<std::string>>();
    head.snapshot.archive_key = snapshot.at("archive_key").get<std::string>();
    head.snapshot.last_hash = snapshot.at("last_hash").get<std::string>();
    auto tail = entries_from_json(source.at("tail"));
    if (!tail) {
        return tl::unexpected(tail.error());
    }
    head.tail = std::move(*tail);
    if (!head.tail.empty() && head.tail.front().number.value != head.snapshot.number.value + 1) {
        return fail(error_kind::invalid_value, "the head record has a gap after its snapshot");
    }
    if (std::string problem = find_chain_problem(head.tail, head.snapshot.last_hash);
        !problem.empty()) {
        return fail(error_kind::invalid_value, std::move(problem));
    }
    return head;
}

} // namespace

config_number history_head::number() const noexcept {
    return this->tail.empty() ? this->snapshot.number : this->tail.back().number;
}

std::string history_head::last_hash() const {
    return this->tail.empty() ? this->snapshot.last_hash : hash_of(this->tail.back());
}

std::string hash_of(const history_entry& entry) {
    return sha256_hex(to_json(entry).dump());
}

nlohmann::json to_json(const history_entry& entry) {
    return {{"number", entry.number.value}, {"base", entry.base.value},
            {"author", entry.author},       {"accepted_at", entry.accepted_at},
            {"patch_id", entry.patch_id},   {"previous_hash", entry.previous_hash},
            {"patch", entry.patch}};
}

result<history_entry> entry_from_json(const nlohmann::json& source) {
    try {
        history_entry entry;
        entry.number.value = source.at("number").get<std::uint64_t>();
        entry.base.value = source.at("base").get<std::uint64_t>();
        entry.author = source.at("author").get<std::string>();
        entry.accepted_at = source.at("accepted_at").get<std::string>();
        entry.patch_id = source.at("patch_id").get<std::string>();
        entry.previous_hash = source.at("previous_hash").get<std::string>();
        entry.patch = source.at("patch");
        return entry;
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_kind::invalid_value, problem.what());
    }
}

std::string encode_head(const history_head& head) {
    const nlohmann::json snapshot = {{"number", head.snapshot.number.value},
                                     {"chunk_keys", head.snapshot.chunk_keys},
                                     {"archive_key", head.snapshot.archive_key},
                                     {"last_hash", head.snapshot.last_hash}};
    return nlohmann::json{{"snapshot", snapshot}, {"tail", entries_to_json(head.tail)}}.dump();
}

result<history_head> decode_head(std::string_view text) {
    try {
        return head_from_json(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_kind::invalid_value, problem.what());
    }
}

std::string encode_archive(const history_archive& archive) {
    return nlohmann::json{{"previous_key", archive.previous_key},
                          {"entries", entries_to_json(archive.entries)}}
        .dump();
}

result<history_archive> decode_archive(std::string_view text) {
    try {
        const nlohmann::json source = nlohmann::json::parse(text);
        history_archive archive;
        archive.previous_key = source.at("previous_key").get<std::string>();
        auto entries = entries_from_json(source.at("entries"));
        if (!entries) {
            return tl::unexpected(entries.error());
        }
        archive.entries = std::move(*entries);
        return archive;
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_kind::invalid_value, problem.what());
    }
}

std::string find_chain_problem(const std::vector<history_entry>& entries,
                               std::string previous_hash) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const history_entry& entry = entries[i];
        const std::string number = std::to_string(entry.number.value);
        if (entry.previous_hash != previous_hash) {
            return "entry " + number + " does not follow the hash of the entry before";
        }
        if (i > 0 && entry.number.value != entries[i - 1].number.value + 1) {
            return "entry " + number + " does not follow the number of the entry before";
        }
        previous_hash = hash_of(entry);
    }
    return {};
}

} // namespace knapweedknot
