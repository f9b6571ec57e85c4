#include "split_patch.h"

#include <string>

namespace knapweedknot {

namespace {

/// Appends the entities of one section to \p parts: only removals, or only additions and changes.
void append_section(std::vector<nlohmann::json>& parts, const nlohmann::json& patch,
                    const std::string& section, bool removals, std::size_t max_bytes) {
    const auto found = patch.find(section);
    if (found == patch.end() || !found->is_object()) {
        return;
    }
    nlohmann::json part = nlohmann::json::object();
    std::size_t bytes = 0;
    for (const auto& [name, value] : found->items()) {
        if (value.is_null() != removals) {
            continue;
        }
        const std::size_t size = name.size() + value.dump().size();
        if (bytes > 0 && bytes + size > max_bytes) {
            parts.push_back({{section, std::move(part)}});
            part = nlohmann::json::object();
            bytes = 0;
        }
        part[name] = value;
        bytes += size;
    }
    if (!part.empty()) {
        parts.push_back({{section, std::move(part)}});
    }
}

} // namespace

std::vector<nlohmann::json> split_patch(const nlohmann::json& patch, std::size_t max_bytes) {
    if (patch.dump().size() <= max_bytes) {
        return {patch};
    }
    constexpr bool removals = true;
    std::vector<nlohmann::json> parts;
    append_section(parts, patch, "routes", removals, max_bytes);
    append_section(parts, patch, "services", !removals, max_bytes);
    append_section(parts, patch, "accounts", !removals, max_bytes);
    append_section(parts, patch, "routes", !removals, max_bytes);
    append_section(parts, patch, "services", removals, max_bytes);
    append_section(parts, patch, "accounts", removals, max_bytes);
    return parts;
}

} // namespace knapweedknot
