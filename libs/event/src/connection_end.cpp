#include "event/connection_end.h"

namespace knapweedknot {

std::string_view to_string(connection_end_reason reason) noexcept {
    switch (reason) {
    case connection_end_reason::caller_closed:
        return "caller_closed";
    case connection_end_reason::connection_failed:
        return "connection_failed";
    case connection_end_reason::idle:
        return "idle";
    case connection_end_reason::write_stalled:
        return "write_stalled";
    case connection_end_reason::final_response:
        return "final_response";
    case connection_end_reason::server_stopping:
        return "server_stopping";
    case connection_end_reason::memory_exhausted:
        return "memory_exhausted";
    case connection_end_reason::request_dropped:
        return "request_dropped";
    case connection_end_reason::server_destroyed:
        break;
    }
    return "server_destroyed";
}

std::string_view to_string(connection_end_manner manner) noexcept {
    switch (manner) {
    case connection_end_manner::closed_by_caller:
        return "closed_by_caller";
    case connection_end_manner::failed:
        return "failed";
    case connection_end_manner::closed_by_server:
        return "closed_by_server";
    case connection_end_manner::timed_out:
        break;
    }
    return "timed_out";
}

} // namespace knapweedknot
