#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

/// \file
/// Strong types for identifiers, so that one kind cannot be passed where another is expected.

namespace knapweedknot {

namespace detail {

/// Wraps a value so that wrappers with different tags are distinct types.
template <typename Tag, typename Value>
struct strong_id {
    Value value{};
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
};

} // namespace detail

/// Name of a client account in the configuration.
using account_id = detail::strong_id<struct account_id_tag, std::string>;
/// Name of a service in the configuration.
using service_id = detail::strong_id<struct service_id_tag, std::string>;
/// Name of a target, unique within its service.
using target_id = detail::strong_id<struct target_id_tag, std::string>;
/// Name of a route in the configuration.
using route_id = detail::strong_id<struct route_id_tag, std::string>;
/// Name of a failure domain.
using failure_domain_id = detail::strong_id<struct failure_domain_id_tag, std::string>;
/// Name of a region, which holds several failure domains.
using region_id = detail::strong_id<struct region_id_tag, std::string>;
/// Name of an instance, unique in the fleet at any one time; kept when the instance restarts.
using instance_id = detail::strong_id<struct instance_id_tag, std::string>;
/// Identifies one run of an instance's process. Random; never zero for a running process.
using incarnation_id = detail::strong_id<struct incarnation_id_tag, std::uint64_t>;
/// Number of an accepted configuration; zero is the empty configuration before the first patch.
using config_number = detail::strong_id<struct config_number_tag, std::uint64_t>;
/// A hash slot: a group of client accounts whose rate limits one broker enforces.
using slot_id = detail::strong_id<struct slot_id_tag, std::uint32_t>;

} // namespace knapweedknot

template <typename Tag, typename Value>
struct std::hash<knapweedknot::detail::strong_id<Tag, Value>> {
    std::size_t operator()(const knapweedknot::detail::strong_id<Tag, Value>& id) const noexcept {
        return std::hash<Value>{}(id.value);
    }
};
