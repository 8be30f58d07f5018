#pragma once
// SHA-256 as lower-case hexadecimal text (64 digits), by OpenSSL.
//
//   auto digest = sha256(bytes);
//   auto hasher = sha256_hasher{}; hasher.update(part); auto whole = hasher.finish();

#include <memory>
#include <string>
#include <string_view>

namespace hibiscuswall {

class sha256_hasher {
public:
    sha256_hasher();
    ~sha256_hasher();
    sha256_hasher(sha256_hasher const&) = delete;
    auto operator=(sha256_hasher const&) -> sha256_hasher& = delete;

    auto update(std::string_view bytes) -> void;
    [[nodiscard]] auto finish() -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

[[nodiscard]] auto sha256(std::string_view bytes) -> std::string;

} // namespace hibiscuswall
