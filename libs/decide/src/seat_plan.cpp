#include "decide/seat_plan.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace knapweedknot {

namespace {

seat_holder* find_mutable_holder(seat_record& record, incarnation_id incarnation) {
    const auto found = std::find_if(
        record.holders.begin(), record.holders.end(),
        [incarnation](const seat_holder& holder) { return holder.incarnation == incarnation; });
    return found == record.holders.end() ? nullptr : &*found;
}

int even_share(const seat_record& record) {
    return record.holders.empty() ? record.total_seats
                                  : record.total_seats / static_cast<int>(record.holders.size());
}

void remove_terminated(seat_record& record, const seat_plan_input& input) {
    std::erase_if(record.holders, [&input](const seat_holder& holder) {
        return std::find(input.terminated.begin(), input.terminated.end(), holder.incarnation) !=
               input.terminated.end();
    });
}

/// Adds the planning instance, which inherits the seats of its earlier incarnations. Their
/// processes must have ended, since this process is using their address.
void join(seat_record& record, const seat_plan_input& input) {
    int inherited = 0;
    for (const seat_holder& holder : record.holders) {
        inherited += holder.instance == input.self ? holder.seats : 0;
    }
    std::erase_if(record.holders,
                  [&input](const seat_holder& holder) { return holder.instance == input.self; });
    record.holders.push_back({input.self, input.incarnation, inherited, input.peers_address});
}

void release_surplus(seat_record& record, const seat_plan_input& input) {
    seat_holder* self = find_mutable_holder(record, input.incarnation);
    const int given = std::min(input.releasable, surplus_seats(record, input.incarnation));
    self->seats -= std::max(0, given);
}

void claim_free_seats(seat_record& record, const seat_plan_input& input) {
    seat_holder* self = find_mutable_holder(record, input.incarnation);
    const int missing = even_share(record) - self->seats;
    int taken = std::clamp(missing, 0, free_seats(record));
    const bool others_have_even_share =
        std::all_of(record.holders.begin(), record.holders.end(), [&](const seat_holder& holder) {
            return &holder == self || holder.seats >= even_share(record);
        });
    // Holders may claim one seat each of the remainder that does not divide evenly.
    if (others_have_even_share && self->seats + taken == even_share(record) &&
        free_seats(record) > taken) {
        ++taken;
    }
    self->seats += taken;
}

} // namespace

int free_seats(const seat_record& record) noexcept {
    int held = 0;
    for (const seat_holder& holder : record.holders) {
        held += holder.seats;
    }
    return record.total_seats - held;
}

const seat_holder* find_holder(const seat_record& record, incarnation_id incarnation) noexcept {
    const auto found = std::find_if(
        record.holders.begin(), record.holders.end(),
        [incarnation](const seat_holder& holder) { return holder.incarnation == incarnation; });
    return found == record.holders.end() ? nullptr : &*found;
}

int surplus_seats(const seat_record& record, incarnation_id incarnation) noexcept {
    const seat_holder* self = find_holder(record, incarnation);
    if (self == nullptr) {
        return 0;
    }
    const int share = even_share(record);
    int needed = -free_seats(record);
    for (const seat_holder& holder : record.holders) {
        needed += std::max(0, share - holder.seats);
    }
    // One seat above the even share may be kept while no holder is below it.
    const int above = std::max(0, self->seats - share);
    return std::max(std::clamp(needed, 0, above), above - 1);
}

std::optional<seat_record> plan_seats(const seat_record& record, const seat_plan_input& input) {
    seat_record planned = record;
    remove_terminated(planned, input);
    if (input.leaving) {
        std::erase_if(planned.holders, [&input](const seat_holder& holder) {
            return holder.incarnation == input.incarnation;
        });
    } else {
        if (find_holder(planned, input.incarnation) == nullptr) {
            join(planned, input);
        }
        release_surplus(planned, input);
        claim_free_seats(planned, input);
    }
    if (planned == record) {
        return std::nullopt;
    }
    return planned;
}

std::string encode_seats(const seat_record& record) {
    nlohmann::json holders = nlohmann::json::array();
    for (const seat_holder& holder : record.holders) {
        holders.push_back({{"instance", holder.instance.value},
                           {"incarnation", holder.incarnation.value},
                           {"seats", holder.seats},
                           {"peers_address", holder.peers_address}});
    }
    return nlohmann::json{{"total_seats", record.total_seats}, {"holders", holders}}.dump();
}

std::optional<seat_record> decode_seats(const std::string& text) {
    try {
        const nlohmann::json source = nlohmann::json::parse(text);
        seat_record record;
        record.total_seats = source.at("total_seats").get<int>();
        for (const nlohmann::json& item : source.at("holders")) {
            record.holders.push_back({instance_id{item.at("instance").get<std::string>()},
                                      incarnation_id{item.at("incarnation").get<std::uint64_t>()},
                                      item.at("seats").get<int>(),
                                      item.at("peers_address").get<std::string>()});
        }
        const bool negative =
            std::any_of(record.holders.begin(), record.holders.end(),
                        [](const seat_holder& holder) { return holder.seats < 0; });
        if (record.total_seats <= 0 || negative || free_seats(record) < 0) {
            return std::nullopt;
        }
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace knapweedknot
