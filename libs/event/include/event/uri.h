#pragma once

#include <string>
#include <string_view>

/// \file
/// Percent-encoding of URIs and their query parameters. All functions are thread safe.

namespace knapweedknot {

/// \p text with every character percent-encoded that RFC 3986 does not leave unreserved.
[[nodiscard]] std::string encode_uri_component(const std::string& text);

/// \p text without percent-encoding; "+" stands for a blank.
[[nodiscard]] std::string decode_uri_component(const std::string& text);

/// Value of the parameter \p name in \p query, decoded; empty when there is none.
[[nodiscard]] std::string query_parameter(std::string_view query, const std::string& name);

/// \p host, the value of a Host header, without its port.
[[nodiscard]] std::string_view host_without_port(std::string_view host) noexcept;

/// The path of \p uri, without query and fragment, not decoded.
[[nodiscard]] std::string_view path_of(std::string_view uri) noexcept;

} // namespace knapweedknot
