#pragma once
// Reads the fields of a JSON object each by itself: one that is absent or null has its default, a number that
// is out of range has the nearest bound, and one that cannot be read has its default and is noted. So a field
// that nobody can read costs what it describes and nothing else. For documents whose writer was already told
// that they are valid; whoever can still refuse a document uses core/checked_json.hpp.
//
//   auto unread = unread_fields{};
//   auto const route = tolerant_fields{object, "routes[3]", unread};
//   auto const attempts = route.integer("attempts", 0, 100, 1);
//   auto const timeout = route.duration("timeout_ms", milliseconds{60'000});
//   unread.count;                                                        // 0 if all could be read

#include "hibiscuswall/core/checked_json.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct unread_fields {
    static constexpr auto max_listed = std::size_t{8};

    std::size_t count = 0;
    std::vector<std::string> first; // paths, for the log

    auto note(std::string path) -> void
    {
        if (++count <= max_listed) first.push_back(std::move(path));
    }
};

class tolerant_fields {
public:
    // The object and the notes are referred to. Anything that is no object has no fields, which is noted.
    tolerant_fields(nlohmann::json const& object, std::string path, unread_fields& notes)
        : object_{object}, path_{std::move(path)}, notes_{notes}
    {
        if (!object.is_object()) notes_.note(path_);
    }

    // None if it is absent, null or no text.
    [[nodiscard]] auto text(char const* name) const -> std::optional<std::string>
    {
        auto const* value = find(name);
        if (value == nullptr) return std::nullopt;
        if (value->is_string()) return value->get<std::string>();
        note(name);
        return std::nullopt;
    }

    [[nodiscard]] auto flag(char const* name, bool fallback) const -> bool
    {
        auto const* value = find(name);
        if (value == nullptr) return fallback;
        if (value->is_boolean()) return value->get<bool>();
        note(name);
        return fallback;
    }

    [[nodiscard]] auto number(char const* name, double min, double max, double fallback) const -> double
    {
        auto const* value = find(name);
        if (value == nullptr) return fallback;
        if (!value->is_number()) {
            note(name);
            return fallback;
        }
        auto const read = value->get<double>();
        if (!(read >= min && read <= max)) note(name);
        return read >= max ? max : std::max(min, read);
    }

    // Of a fraction, the whole part.
    template<class Integer>
    [[nodiscard]] auto integer(char const* name, Integer min, Integer max, Integer fallback) const -> Integer
    {
        auto const read =
            number(name, static_cast<double>(min), static_cast<double>(max), static_cast<double>(fallback));
        return static_cast<Integer>(read);
    }

    [[nodiscard]] auto duration(char const* name, milliseconds fallback) const -> milliseconds
    {
        auto const longest = static_cast<double>(max_duration.count());
        auto const read = number(name, 0, longest, static_cast<double>(fallback.count()));
        return milliseconds{static_cast<long long>(read)};
    }

    // A time in seconds; none if it is absent.
    [[nodiscard]] auto duration_in_seconds(char const* name) const -> milliseconds
    {
        auto const longest = std::chrono::duration<double>(max_duration);
        auto const read = std::chrono::duration<double>(number(name, 0, longest.count(), 0));
        return std::chrono::duration_cast<milliseconds>(read);
    }

    // The texts of a list; a text alone counts as a list of one. Other elements are left out.
    [[nodiscard]] auto texts(char const* name) const -> std::vector<std::string>
    {
        auto found = std::vector<std::string>{};
        auto const* value = find(name);
        if (value == nullptr) return found;
        if (value->is_string()) return {value->get<std::string>()};
        if (!value->is_array()) note(name);
        for (auto const& element : elements(value))
            if (element.is_string())
                found.push_back(element.get<std::string>());
            else
                note(name);
        return found;
    }

    // Null if it is absent, null, or neither an object nor a list.
    [[nodiscard]] auto container(char const* name) const -> nlohmann::json const*
    {
        auto const* value = find(name);
        if (value == nullptr || value->is_structured()) return value;
        note(name);
        return nullptr;
    }

    // Whether the field is there and says anything at all.
    [[nodiscard]] auto states(char const* name) const -> bool
    {
        auto const* value = find(name);
        return value != nullptr && !(value->is_array() && value->empty());
    }

    [[nodiscard]] auto path() const -> std::string const& { return path_; }

private:
    [[nodiscard]] auto find(char const* name) const -> nlohmann::json const*
    {
        if (!object_.is_object()) return nullptr;
        auto const found = object_.find(name);
        return found == object_.end() || found->is_null() ? nullptr : &*found;
    }

    static auto elements(nlohmann::json const* value) -> nlohmann::json const&
    {
        static auto const none = nlohmann::json::array();
        return value->is_array() ? *value : none;
    }

    auto note(char const* name) const -> void { notes_.note(path_ + "." + name); }

    nlohmann::json const& object_;
    std::string path_;
    unread_fields& notes_;
};

} // namespace hibiscuswall
