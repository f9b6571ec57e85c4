#include "response_ledger.h"

#include <utility>

namespace knapweedknot::detail {

void response_ledger::add(std::string id, std::size_t bytes) {
    this->total_bytes += bytes;
    this->responses.push_back({std::move(id), this->total_bytes});
}

void response_ledger::forget_delivered(std::size_t outstanding_bytes) {
    while (!this->responses.empty() &&
           this->responses.front().end + outstanding_bytes <= this->total_bytes) {
        this->responses.pop_front();
    }
}

std::vector<std::string> response_ledger::undelivered(std::size_t outstanding_bytes) const {
    std::vector<std::string> ids;
    for (const written_response& response : this->responses) {
        if (response.end + outstanding_bytes > this->total_bytes) {
            ids.push_back(response.id);
        }
    }
    return ids;
}

} // namespace knapweedknot::detail
