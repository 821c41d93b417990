#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrymoor {

// Returns the table of type `T` in `payload`, or null if FlatBuffers verification fails.
template <typename T> const T *verifiedRoot(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<T>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<T>(payload.data());
}

// Returns a copy of a FlatBuffers string, or an empty string if the field is absent.
inline std::string textOf(const flatbuffers::String *value)
{
    return value ? value->str() : std::string();
}

// Returns the finished buffer, which `builder` owns.
inline std::span<const std::uint8_t> bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return { builder.GetBufferPointer(), builder.GetSize() };
}

} // namespace gooseberrymoor
