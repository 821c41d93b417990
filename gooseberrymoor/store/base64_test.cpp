#include "gooseberrymoor/store/base64.h"

#include <doctest/doctest.h>

using namespace gooseberrymoor;

TEST_CASE("Bytes are encoded as Base64")
{
    SUBCASE("with padding")
    {
        CHECK(toBase64("node-1") == "bm9kZS0x");
        CHECK(toBase64("a") == "YQ==");
        CHECK(toBase64("").empty());
    }
    SUBCASE("and every byte value survives a round trip")
    {
        std::string bytes;
        for (int i = 0; i < 256; ++i)
            bytes += static_cast<char>(i);
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
    SUBCASE("and text without padding, or cut off, decodes as far as it goes")
    {
        CHECK(fromBase64("YWI") == "ab");
        CHECK(fromBase64("YQ") == "a");
        CHECK(fromBase64("YWJjZ") == "abc");
    }
    SUBCASE("and text outside the alphabet decodes to nothing")
    {
        CHECK(fromBase64("!!").empty());
    }
}
