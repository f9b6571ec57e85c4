#include "event/target_connection_end.h"

namespace knapweedknot {

std::string_view to_string(target_connection_end end) noexcept {
    switch (end) {
    case target_connection_end::connect_failed:
        return "connect_failed";
    case target_connection_end::connect_timed_out:
        return "connect_timed_out";
    case target_connection_end::ended_before_request:
        return "ended_before_request";
    case target_connection_end::idle_closed:
        return "idle_closed";
    case target_connection_end::idle_dropped:
        return "idle_dropped";
    case target_connection_end::closed_without_answer:
        return "closed_without_answer";
    case target_connection_end::reset_without_answer:
        return "reset_without_answer";
    case target_connection_end::closed_within_answer:
        return "closed_within_answer";
    case target_connection_end::reset_within_answer:
        return "reset_within_answer";
    case target_connection_end::malformed_answer:
        return "malformed_answer";
    case target_connection_end::answer_too_large:
        return "answer_too_large";
    case target_connection_end::timed_out:
        return "timed_out";
    case target_connection_end::cancelled:
        return "cancelled";
    case target_connection_end::close_announced:
        return "close_announced";
    case target_connection_end::close_delimited:
        return "close_delimited";
    case target_connection_end::request_unfinished:
        return "request_unfinished";
    case target_connection_end::surplus_bytes:
        return "surplus_bytes";
    case target_connection_end::late_answer:
        return "late_answer";
    }
    return {};
}

} // namespace knapweedknot
