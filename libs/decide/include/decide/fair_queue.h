#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/ids.h"

/// \file
/// A queue with fair queuing between client accounts, so that one with many waiting requests does
/// not delay the others.

namespace knapweedknot {

/// First in, first out within an account; round robin between accounts. Not thread safe.
template <typename Item>
class fair_queue {
public:
    void push(const account_id& account, Item item) {
        const auto [entry, is_new] = this->by_account.try_emplace(account);
        if (entry->second.empty()) {
            this->round_robin.push_back(account);
        }
        entry->second.push_back(std::move(item));
        ++this->count;
    }

    /// Removes and returns the next item; nothing when the queue is empty.
    std::optional<Item> pop() {
        if (this->round_robin.empty()) {
            return std::nullopt;
        }
        const account_id account = this->round_robin.front();
        this->round_robin.pop_front();
        std::deque<Item>& items = this->by_account.at(account);
        std::optional<Item> next(std::move(items.front()));
        items.pop_front();
        --this->count;
        if (items.empty()) {
            this->by_account.erase(account);
        } else {
            this->round_robin.push_back(account);
        }
        return next;
    }

    /// Number of waiting items of \p account.
    [[nodiscard]] std::size_t size_of(const account_id& account) const {
        const auto found = this->by_account.find(account);
        return found == this->by_account.end() ? 0 : found->second.size();
    }
    [[nodiscard]] std::size_t size() const noexcept { return this->count; }
    /// Number of accounts with waiting items.
    [[nodiscard]] std::size_t account_count() const noexcept { return this->by_account.size(); }

private:
    std::list<account_id> round_robin;
    std::unordered_map<account_id, std::deque<Item>> by_account;
    std::size_t count{0};
};

/// True when \p account may enqueue one more item: it must hold less than its even share of
/// \p limit among the accounts with waiting items, and may always hold one.
template <typename Item>
[[nodiscard]] bool may_enqueue(const fair_queue<Item>& queue, const account_id& account,
                               std::size_t limit) {
    const std::size_t own = queue.size_of(account);
    const std::size_t accounts = queue.account_count() + (own == 0 ? 1 : 0);
    return own < std::max<std::size_t>(1, limit / accounts);
}

} // namespace knapweedknot
