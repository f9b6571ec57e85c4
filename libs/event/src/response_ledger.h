#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

/// \file
/// Which responses of a connection the peer has not received in full.

namespace knapweedknot::detail {

/// The last responses that were written to a connection. Not thread safe.
class response_ledger {
public:
    /// Adds the response to the request \p id, of \p bytes.
    void add(std::string id, std::size_t bytes);
    /// Forgets the responses that are delivered when \p outstanding_bytes of all that was added are
    /// not.
    void forget_delivered(std::size_t outstanding_bytes);
    /// Ids of the requests whose responses are not delivered in full when \p outstanding_bytes of
    /// all that was added are not.
    [[nodiscard]] std::vector<std::string> undelivered(std::size_t outstanding_bytes) const;
    /// Number of responses that are not forgotten.
    [[nodiscard]] std::size_t size() const noexcept { return this->responses.size(); }

private:
    struct written_response {
        std::string id;
        /// Bytes that were added to the connection up to the end of this response.
        std::uint64_t end{0};
    };

    std::deque<written_response> responses;
    std::uint64_t total_bytes{0};
};

} // namespace knapweedknot::detail
