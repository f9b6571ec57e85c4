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
/// A queue that serves client accounts in turn, so that one with many waiting requests does not
/// delay the others.

namespace knapweedknot {

/// First in, first out within an account; round robin between accounts. Not thread safe.
template <typename Item>
class fair_queue {
public:
    void push(const account_id& account, Item item) {
        const auto [place, is_new] = this->by_account.try_emplace(account);
        if (place->second.empty()) {
            this->turns.push_back(account);
        }
        place->second.push_back(std::move(item));
        ++this->count;
    }

    /// Takes the next item in turn; nothing when the queue is empty.
    std::optional<Item> pop() {
        if (this->turns.empty()) {
            return std::nullopt;
        }
        const account_id account = this->turns.front();
        this->turns.pop_front();
        std::deque<Item>& items = this->by_account.at(account);
        std::optional<Item> next(std::move(items.front()));
        items.pop_front();
        --this->count;
        if (items.empty()) {
            this->by_account.erase(account);
        } else {
            this->turns.push_back(account);
        }
        return next;
    }

    /// Items of \p account that wait.
    [[nodiscard]] std::size_t size_of(const account_id& account) const {
        const auto found = this->by_account.find(account);
        return found == this->by_account.end() ? 0 : found->second.size();
    }
    [[nodiscard]] std::size_t size() const noexcept { return this->count; }
    /// Accounts with waiting items.
    [[nodiscard]] std::size_t accounts() const noexcept { return this->by_account.size(); }

private:
    std::list<account_id> turns;
    std::unordered_map<account_id, std::deque<Item>> by_account;
    std::size_t count{0};
};

/// True when one more item of \p account may wait: a full queue has room only for accounts that
/// have less than an even part of it. Pure.
template <typename Item>
[[nodiscard]] bool may_wait(const fair_queue<Item>& queue, const account_id& account,
                            std::size_t limit) {
    const std::size_t own = queue.size_of(account);
    const std::size_t accounts = queue.accounts() + (own == 0 ? 1 : 0);
    return own < std::max<std::size_t>(1, limit / accounts);
}

} // namespace knapweedknot
