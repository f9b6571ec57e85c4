#pragma once

#include <string>
#include <string_view>

/// \file
/// Percent-encoding of URIs and their query parameters. All functions are thread safe.

namespace knapweedknot {

/// Percent-encodes all characters of \p text except the unreserved ones of RFC 3986.
[[nodiscard]] std::string encode_uri_component(const std::string& text);

/// Decodes percent-encoded \p text; "+" decodes to a space.
[[nodiscard]] std::string decode_uri_component(const std::string& text);

/// Decoded value of the parameter \p name in \p query; empty when there is none.
[[nodiscard]] std::string query_parameter(std::string_view query, const std::string& name);

/// The value \p host of a Host header without its port.
[[nodiscard]] std::string_view host_without_port(std::string_view host) noexcept;

/// The path of \p uri without query and fragment, not decoded.
[[nodiscard]] std::string_view path_of(std::string_view uri) noexcept;

} // namespace knapweedknot
