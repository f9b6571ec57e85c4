#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/ids.h"
#include "config/entities.h"
#include "config/route_table.h"

/// \file
/// The configuration in force at an instance. Patches are applied in place, at a cost that depends
/// on the size of the patch and not of the configuration.

namespace knapweedknot {

/// Account and stored hash for a key id.
struct key_owner {
    client_account_ptr account;
    stored_key key;
};

/// Numbered set of client accounts, services and routes. Not thread safe.
class configuration {
public:
    /// Applies an RFC 7396 merge patch and sets the configuration number to \p number. On error
    /// nothing changes, and the error is invalid_value with the path of each invalid value.
    /// \pre number is greater than the current number
    [[nodiscard]] result<void> apply(config_number number, const nlohmann::json& merge_patch);
    /// Validates a merge patch like apply, without applying it.
    [[nodiscard]] result<void> check(const nlohmann::json& merge_patch) const;
    /// Replaces the whole configuration with \p document. On error nothing changes.
    /// \pre number is not less than the current number
    [[nodiscard]] result<void> load(config_number number, const nlohmann::json& document);

    [[nodiscard]] config_number number() const noexcept { return this->current; }
    /// The configuration as one JSON document, for operators and snapshots.
    [[nodiscard]] const nlohmann::json& document() const noexcept { return this->source; }

    /// Finds the account of a key id; the account is null when the key id is unknown or withdrawn.
    [[nodiscard]] key_owner find_key(std::string_view key_id) const;
    [[nodiscard]] client_account_ptr find_account(const account_id& id) const;
    [[nodiscard]] service_ptr find_service(const service_id& id) const;
    [[nodiscard]] route_ptr find_route(std::string_view host, std::string_view path) const;

    [[nodiscard]] const std::unordered_map<account_id, client_account_ptr>&
    accounts() const noexcept {
        return this->accounts_by_id;
    }
    [[nodiscard]] const std::map<service_id, service_ptr>& services() const noexcept {
        return this->services_by_id;
    }
    [[nodiscard]] const std::map<route_id, route_ptr>& routes() const noexcept {
        return this->routes_by_id;
    }

private:
    /// The entities that a patch adds, replaces or removes (null), and the problems found.
    struct changes {
        std::map<account_id, client_account_ptr> accounts;
        std::map<service_id, service_ptr> services;
        std::map<route_id, route_ptr> routes;
        std::vector<std::string> problems;
    };

    [[nodiscard]] changes plan(const nlohmann::json& merge_patch) const;
    void check_keys(changes& planned) const;
    void check_route(changes& planned, const route& checked) const;
    void check_references(changes& planned) const;
    void commit(const changes& planned);
    void replace_account(const account_id& id, const client_account_ptr& account);
    void replace_route(const route_id& id, const route_ptr& added);

    config_number current;
    nlohmann::json source = {{"accounts", nlohmann::json::object()},
                             {"services", nlohmann::json::object()},
                             {"routes", nlohmann::json::object()}};
    std::unordered_map<account_id, client_account_ptr> accounts_by_id;
    std::map<service_id, service_ptr> services_by_id;
    std::map<route_id, route_ptr> routes_by_id;
    std::unordered_map<std::string, client_account_ptr> accounts_by_key_id;
    route_table table;
};

/// Converts an RFC 6902 JSON Patch to a merge patch with the same effect on \p document. The error
/// is invalid_value when the patch cannot be applied or sets a value to null. Thread safe.
[[nodiscard]] result<nlohmann::json> to_merge_patch(const nlohmann::json& document,
                                                    const nlohmann::json& json_patch);

/// Returns the merge patch that changes \p from into \p to. Thread safe.
[[nodiscard]] nlohmann::json diff_as_merge_patch(const nlohmann::json& from,
                                                 const nlohmann::json& to);

} // namespace knapweedknot
