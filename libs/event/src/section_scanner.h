#pragma once

#include <cstddef>
#include <string_view>

/// \file
/// The lines of a header or trailer section, byte by byte (RFC 9112, 2.2 and 5). What another
/// reader could end at another byte is malformed: a CR or LF on its own, a control character, a
/// continued line, a blank around a field name, a line without a colon.

namespace knapweedknot::detail {

/// Which section is scanned.
enum class section {
    /// A start line and header fields.
    head,
    /// Fields only.
    trailers,
};

/// Progress of a scan.
enum class scan_state { incomplete, complete, malformed, too_large };

/// Finds the end of a section. The result depends on the bytes only, not on how they are divided
/// between calls. Not thread safe.
class section_scanner {
public:
    /// \param limit maximum size of the section in bytes
    section_scanner(section kind, std::size_t limit) noexcept;

    /// Scans \p bytes, which follow those of the calls before, up to the end of the section.
    /// \return the number of bytes scanned
    /// \pre state() is incomplete
    std::size_t scan(std::string_view bytes) noexcept;
    [[nodiscard]] scan_state state() const noexcept { return this->progress; }
    /// Bytes scanned by all calls; once complete, the size of the section.
    [[nodiscard]] std::size_t size() const noexcept { return this->scanned; }
    /// Size of the start line and its line end in bytes; zero until it is complete.
    [[nodiscard]] std::size_t start_line_size() const noexcept { return this->first_line_size; }

private:
    enum class position { line_start, start_line, name, text, line_feed, last_line_feed };

    [[nodiscard]] std::size_t run_length(std::string_view bytes) const noexcept;
    void scan_byte(char byte) noexcept;
    [[nodiscard]] position after_line_start(char byte) noexcept;

    std::size_t max_size;
    std::size_t scanned{0};
    std::size_t first_line_size{0};
    bool expects_start_line;
    position where{position::line_start};
    scan_state progress{scan_state::incomplete};
};

/// True for the characters of a token, such as a field name (RFC 9110, 5.6.2). Thread safe.
[[nodiscard]] bool is_token_character(char byte) noexcept;

/// True for the characters of a field value (RFC 9110, 5.5): no control character but HTAB. Thread
/// safe.
[[nodiscard]] bool is_text_character(char byte) noexcept;

/// \p text without the blanks (SP, HTAB) at its ends. Thread safe.
[[nodiscard]] std::string_view trim_blanks(std::string_view text) noexcept;

} // namespace knapweedknot::detail
