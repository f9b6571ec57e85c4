#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/evacuation_order.h"
#include "decide/evacuation.h"

/// \file
/// The evacuation orders that an instance knows, merged from reads and watches of the store and
/// from what other instances report. These may arrive in another order than that of the changes.

namespace knapweedknot {

/// A start or an end of an evacuation that an instance has learned of.
struct evacuation_change {
    failure_domain_id failure_domain;
    bool evacuated{false};
    /// Store revision of the change; 0 when another instance reported it.
    std::uint64_t revision{0};
};

/// Knowledge of the evacuation orders. Older knowledge never replaces newer knowledge. Each
/// function returns the starts and ends of evacuations that it has brought. Not thread safe.
class evacuation_orders {
public:
    /// Takes over one change from a watch of the store.
    std::vector<evacuation_change> apply_change(const evacuation_order& order, time_point now);
    /// Takes over a complete listing of the store.
    /// \param revision store revision of the first page
    /// \param read_started start of the read of the first page
    std::vector<evacuation_change> apply_listing(const std::vector<evacuation_order>& orders,
                                                 std::uint64_t revision, time_point read_started,
                                                 time_point now);
    /// Takes over the evacuated failure domains that another instance reports, which were the
    /// evacuated ones at \p confirmed_at or later.
    std::vector<evacuation_change> apply_report(const std::vector<failure_domain_id>& evacuated,
                                                time_point confirmed_at, time_point now);

    [[nodiscard]] const evacuation_states& states() const noexcept { return this->domains; }
    /// The orders were known completely at this time, or later; empty before the first read.
    [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept {
        return this->confirmed;
    }
    /// Names of the evacuated failure domains.
    [[nodiscard]] std::vector<std::string> evacuated_names() const;

private:
    void set(const failure_domain_id& domain, bool evacuated, std::uint64_t revision,
             time_point now, std::vector<evacuation_change>& changes);
    void confirm(time_point at);
    void forget_old_ends(time_point now);

    evacuation_states domains;
    std::optional<time_point> confirmed;
};

} // namespace knapweedknot
