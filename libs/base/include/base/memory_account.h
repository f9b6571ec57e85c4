#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// The account of the bytes that a process holds for its callers and targets. It decides who may
/// hold more; it neither allocates nor reads.

namespace knapweedknot {

/// What bytes are held for.
enum class memory_use : std::uint8_t {
    /// A connection itself.
    connection,
    /// A request that is being read.
    reading,
    /// A request that waits or runs.
    running,
    /// A target's response that is being read, or waits for its turn.
    response,
    /// Responses that callers have not taken.
    sending,
};

inline constexpr std::array memory_uses{memory_use::connection, memory_use::reading,
                                        memory_use::running, memory_use::response,
                                        memory_use::sending};

/// Stable name for logs and metrics, the identifier of the enumerator.
[[nodiscard]] std::string_view to_string(memory_use use) noexcept;

/// Budget of an account, in bytes.
struct memory_limits {
    std::size_t total{0};
    /// Part of the total that requests may take, so that their responses have room.
    std::size_t requests{0};
    /// Part of both that only small holders may take.
    std::size_t small_reserve{0};
    /// Requests and responses up to this size are small.
    std::size_t small_bytes{std::size_t{64} * 1024};
    /// What the requests of one caller address may take while other addresses wait.
    std::size_t per_address{0};
};

/// The budget of a process on a machine with \p machine_bytes of memory.
[[nodiscard]] memory_limits memory_limits_for(std::size_t machine_bytes) noexcept;

/// What the requests of one caller address hold.
struct address_memory {
    /// The address; set by the account.
    const std::string* ip{nullptr};
    std::size_t bytes{0};
    /// Open connections.
    std::size_t connections{0};
    /// Requests of which no more is read.
    std::size_t waiting{0};
};

/// Bytes held by use, within the limits. Not thread safe.
class memory_account {
public:
    explicit memory_account(const memory_limits& budget) noexcept : limits(budget) {}

    /// Counts one more connection from the address \p ip. The result stays valid until the
    /// connection is removed and all bytes taken for the address are given back.
    [[nodiscard]] address_memory& add_connection(const std::string& ip);
    void remove_connection(address_memory& from);
    /// Notes that a request of \p from starts or stops to wait for bytes.
    void add_waiting(address_memory& from) noexcept;
    void remove_waiting(address_memory& from) noexcept;

    /// Whether a holder of \p held bytes may hold \p more; counts them if so.
    /// \param from the caller's address of a request; null for others
    [[nodiscard]] bool take(memory_use use, std::size_t held, std::size_t more,
                            address_memory* from) noexcept;
    /// \pre at least \p bytes were taken for \p use
    void give_back(memory_use use, std::size_t bytes, address_memory* from) noexcept;

    /// Counts \p bytes taken for one use under another. It is not denied: what a holder has taken
    /// may not be lost between two uses.
    void move_bytes(memory_use from, memory_use to, std::size_t bytes) noexcept;

    [[nodiscard]] std::size_t held() const noexcept { return this->total; }
    [[nodiscard]] std::size_t held(memory_use use) const noexcept {
        return this->by_use.at(static_cast<std::size_t>(use));
    }
    [[nodiscard]] const memory_limits& budget() const noexcept { return this->limits; }
    /// Whether \p from holds more than its part while requests of other addresses wait.
    [[nodiscard]] bool is_over_its_part(const address_memory& from) const noexcept {
        return this->waiting > from.waiting && from.bytes > this->limits.per_address;
    }
    /// Bytes given back since the start.
    [[nodiscard]] std::uint64_t given_back() const noexcept { return this->returned; }

private:
    void forget_if_unused(const address_memory& from);
    [[nodiscard]] bool has_room(memory_use use, bool is_small, std::size_t more,
                                const address_memory* from) const noexcept;

    memory_limits limits;
    std::size_t total{0};
    std::array<std::size_t, memory_uses.size()> by_use{};
    std::size_t waiting{0};
    std::uint64_t returned{0};
    std::unordered_map<std::string, address_memory> addresses;
};

/// Bytes that one holder has taken from an account; they are given back at its end. Without an
/// account it grants everything and counts nothing. Not thread safe.
class memory_share {
public:
    memory_share() = default;
    /// \param where must outlive the share, as must \p caller
    memory_share(memory_account* where, memory_use what, address_memory* caller = nullptr) noexcept
        : account(where), from(caller), use(what) {}
    ~memory_share() { this->shrink_to(0); }
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    /// Takes bytes until it holds \p size of them. Returns false, and takes none, if the account
    /// denies them.
    [[nodiscard]] bool grow_to(std::size_t size) noexcept;
    /// Gives bytes back until it holds at most \p size of them.
    void shrink_to(std::size_t size) noexcept;
    /// Holds its bytes for another use.
    void change_use(memory_use what) noexcept;
    /// Takes over the bytes of \p other, which belongs to the same account or to none.
    void absorb(memory_share&& other) noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept { return this->size; }

private:
    memory_account* account{nullptr};
    address_memory* from{nullptr};
    std::size_t size{0};
    memory_use use{memory_use::reading};
};

} // namespace knapweedknot
