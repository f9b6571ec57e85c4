#include "wire/frame.h"

namespace knapweedknot {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t initial_builder_bytes = 256;

} // namespace

std::string detail::encode_message(const wire::messageT& message) {
    flatbuffers::FlatBufferBuilder builder(initial_builder_bytes);
    builder.Finish(wire::message::Pack(builder, &message));
    std::string frame;
    frame.reserve(frame_header_bytes + builder.GetSize());
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        frame.push_back(static_cast<char>(builder.GetSize() >> (i * bits_per_byte)));
    }
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

std::string encode_heartbeat(const wire::heartbeat_fields& fields) {
    flatbuffers::FlatBufferBuilder builder(initial_builder_bytes);
    builder.Finish(wire::Createheartbeat(builder, &fields));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<wire::heartbeat_fields> decode_heartbeat(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::heartbeat>(nullptr) ||
        flatbuffers::GetRoot<wire::heartbeat>(data)->fields() == nullptr) {
        return fail(error_kind::bad_request, "malformed heartbeat");
    }
    return *flatbuffers::GetRoot<wire::heartbeat>(data)->fields();
}

std::optional<std::size_t> message_length(std::string_view header) noexcept {
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        length |= std::size_t{static_cast<unsigned char>(header[i])} << (i * bits_per_byte);
    }
    if (length > max_message_bytes) {
        return std::nullopt;
    }
    return length;
}

result<std::unique_ptr<wire::messageT>> decode_message(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifymessageBuffer(verifier)) {
        return fail(error_kind::bad_request, "malformed peer message");
    }
    return std::unique_ptr<wire::messageT>(wire::Getmessage(data)->UnPack());
}

} // namespace knapweedknot
