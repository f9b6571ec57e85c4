#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>

#include "wire/frame.h"

using namespace knapweedknot;

namespace {

std::string sample_frame() {
    wire::token_requestT request;
    request.id = 7;
    request.account = "shop";
    request.wanted = 3;
    return encode_frame(request);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_frame_round_trips) {
    const std::string frame = sample_frame();
    const auto length = message_length(frame);
    BOOST_REQUIRE(length.has_value());
    BOOST_TEST(*length == frame.size() - frame_header_bytes);
    const auto message = decode_message(std::string_view(frame).substr(frame_header_bytes));
    BOOST_REQUIRE(message.has_value());
    const auto* request = (*message)->body.Astoken_request();
    BOOST_REQUIRE(request != nullptr);
    BOOST_TEST(request->account == "shop");
    BOOST_TEST(request->wanted == 3U);
}

// Guards against out-of-bounds reads when a message is truncated or corrupted. A corrupted message
// may still decode.
BOOST_AUTO_TEST_CASE(a_truncated_message_is_rejected_and_a_corrupted_one_is_safe_to_decode) {
    const std::string bytes = sample_frame().substr(frame_header_bytes);
    for (std::size_t size = 0; size < bytes.size() / 2; ++size) {
        BOOST_TEST(!decode_message(bytes.substr(0, size)).has_value());
    }
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(changed[i] ^ 0x5A);
        static_cast<void>(decode_message(changed));
    }
}

BOOST_AUTO_TEST_CASE(a_heartbeat_round_trips_and_a_truncated_one_is_rejected) {
    wire::heartbeat_fields fields;
    fields.mutate_sender(7);
    fields.mutate_lent_seats(3);
    const std::string bytes = encode_heartbeat(fields);
    BOOST_TEST(bytes.size() <= 80U);
    BOOST_REQUIRE(decode_heartbeat(bytes).has_value());
    BOOST_TEST(decode_heartbeat(bytes)->lent_seats() == 3);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_TEST(!decode_heartbeat(bytes.substr(0, size)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_frame_header_over_the_length_limit_is_rejected) {
    BOOST_TEST(!message_length(std::string(4, '\xFF')).has_value());
}
