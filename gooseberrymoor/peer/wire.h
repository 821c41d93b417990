#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Returns the table of type `T` that `payload` holds, or null if it does not verify.
template <typename T> const T *verifiedRoot(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<T>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<T>(payload.data());
}

// Copies a FlatBuffers string, empty if it is absent.
inline std::string textOf(const flatbuffers::String *value)
{
    return value ? value->str() : std::string();
}

// The finished bytes of `builder`.
inline std::span<const std::uint8_t> bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return { builder.GetBufferPointer(), builder.GetSize() };
}

} // namespace gooseberrymoor
