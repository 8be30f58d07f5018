#pragma once
// The crash marks of all prompt segments that an entry knows, of all models; bounded.
//
//   auto marks = crash_marks{settings};
//   marks.add(model, segment, run, generation_when_sent, now);
//   marks.merge(record, now);
//   if (auto const* segment = marks.find(model, id)) segment->generation();
//
// Ids of any length may be passed; those that are longer than max_id_length are replaced by their SHA-256,
// which is also what the records of other entries contain.

#include "hibiscuswall/serving/marked_segment.hpp"

#include <functional>
#include <map>
#include <string_view>

namespace hibiscuswall {

constexpr auto max_id_length = std::size_t{64}; // characters of a model or segment id

// The id itself, or a view into `buffer`, which then contains its digest.
[[nodiscard]] auto bounded_id(std::string_view id, std::string& buffer) -> std::string_view;

class crash_marks {
public:
    using segment_map = std::map<std::string, marked_segment, std::less<>>;
    using model_map = std::map<std::string, segment_map, std::less<>>;

    explicit crash_marks(quarantine_settings const& limits) : limits_{limits} {}

    // Each returns whether other entries should be told.
    auto add(std::string_view model, std::string_view segment, std::uint64_t run, int generation_when_sent,
             time_point now) -> bool;
    auto merge(segment_record const& record, time_point now) -> bool;
    auto clear(std::string_view model, std::string_view segment) -> bool;

    auto remove_expired(time_point now) -> bool; // whether a mark expired

    // The records, most suspected and newest first. If there are more than max_count, half of them are the
    // first ones and the others rotate with each call.
    [[nodiscard]] auto records(std::size_t max_count) -> std::vector<segment_record>;

    [[nodiscard]] auto models() const -> model_map const& { return models_; }
    [[nodiscard]] auto find_model(std::string_view model) const -> segment_map const*;
    [[nodiscard]] auto find(std::string_view model, std::string_view segment) const -> marked_segment const*;
    [[nodiscard]] auto empty() const -> bool { return size_ == 0; }

private:
    auto find_mutable(std::string_view model, std::string_view segment) -> marked_segment*;
    auto insert(std::string_view model, std::string_view segment, marked_segment marks) -> bool;
    auto erase(std::string const& model, std::string const& segment) -> void;

    quarantine_settings limits_;
    model_map models_;
    std::size_t size_ = 0;     // segments of all models
    std::size_t rotation_ = 0; // of records()
};

} // namespace hibiscuswall
