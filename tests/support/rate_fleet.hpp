#pragma once
// Simulated senders to one endpoint that names a rate limit, with a divider among them and datagrams that are
// late or lost. Made-up time.
//
//   auto fleet = rate_fleet{{.limit = 2.0, .senders = 10, .loss = 0.05}, seed};
//   fleet.set_demand({30, 0, 0});                  // calls per second of each sender
//   fleet.run(seconds{20});
//   fleet.most_within_window(), fleet.used_fraction(from, to)

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/serving/rate_divider.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct rate_fleet_settings {
    double limit = 2; // calls per second
    int senders = 10;
    double loss = 0;              // fraction of the datagrams
    milliseconds max_delay{60};   // of a datagram
    milliseconds named_at{4'000}; // when the endpoint first names its limit
};

class rate_fleet {
public:
    rate_fleet(rate_fleet_settings settings, std::uint64_t seed)
        : settings_{settings}, random_{seed}, senders_(static_cast<std::size_t>(settings.senders)),
          demand_(static_cast<std::size_t>(settings.senders), 0.0)
    {
        for (auto i = std::size_t{0}; i < senders_.size(); ++i)
            senders_[i].name = "e" + std::to_string(i);
        start_divider();
    }

    auto set_demand(std::vector<double> demand) -> void
    {
        demand.resize(senders_.size());
        demand_ = std::move(demand);
    }

    // The process stands still, and then goes on with what it knew.
    auto freeze(int sender, milliseconds time) -> void
    {
        at(sender).frozen_until = now_ + time;
        at(sender).is_excused = true;
    }

    // The process is gone until it is started again, without what it knew.
    auto kill(int sender) -> void { at(sender).runs = false; }
    auto start(int sender) -> void
    {
        auto name = at(sender).name;
        at(sender) = {};
        at(sender).name = std::move(name);
        at(sender).is_excused = true;
        if (sender == first_divider) start_divider();
    }

    // Another process divides from now on, without what the one before knew. All processes go on.
    auto move_division() -> void { start_divider(); }

    // Each sender takes `sender` for the one that divides from some time within `time` on, as after a change
    // of the list of senders that reaches them at different times. One that no longer takes itself for it
    // forgets what it granted.
    auto hand_over(int sender, milliseconds time) -> void
    {
        for (auto& each : senders_) {
            auto const delay = random_.fraction() * static_cast<double>(time.count());
            queue_.push_back({now_ + milliseconds{1 + static_cast<long long>(delay)},
                              [&each, sender] { each.divided_by = sender; }});
        }
    }

    // Only this sender takes `divider` for the one that divides from now on.
    auto believe(int sender, int divider) -> void { at(sender).divided_by = divider; }

    // Divides until another one does.
    static constexpr auto first_divider = 0;

    auto run(milliseconds time) -> void
    {
        for (auto const end = now_ + time; now_ < end; now_ += step)
            advance();
    }

    [[nodiscard]] auto now() const -> milliseconds { return since_start(now_); }

    // The most calls that arrived within any 4 s, of windows that end 3 s after the limit was first named or
    // later.
    [[nodiscard]] auto most_within_window() const -> int
    {
        auto window = std::deque<time_point>{};
        auto most = std::size_t{0};
        auto sorted = arrivals_;
        std::sort(sorted.begin(), sorted.end());
        for (auto const arrival : sorted) {
            window.push_back(arrival);
            while (arrival - window.front() > seconds{4})
                window.pop_front();
            if (since_start(arrival) >= settings_.named_at + seconds{3}) most = std::max(most, window.size());
        }
        return static_cast<int>(most);
    }

    [[nodiscard]] auto allowed_within_window() const -> double { return 6 * settings_.limit + 5; }

    // Calls that arrived, as a fraction of what the limit allows in that time.
    [[nodiscard]] auto used_fraction(milliseconds from, milliseconds to) const -> double
    {
        auto const count = std::count_if(arrivals_.begin(), arrivals_.end(), [&](auto each) {
            return from <= since_start(each) && since_start(each) < to;
        });
        return static_cast<double>(count) /
               (settings_.limit * std::chrono::duration<double>(to - from).count());
    }

    [[nodiscard]] auto arrived() const -> int { return static_cast<int>(arrivals_.size()); }
    [[nodiscard]] auto refused() const -> int { return refused_; }

private:
    static constexpr auto step = milliseconds{10};
    static constexpr auto report_interval = milliseconds{300};
    static constexpr auto min_report_interval = milliseconds{100};
    static constexpr auto notice_interval = milliseconds{300};
    static constexpr auto divide_interval = milliseconds{100};

    struct peer_state { // of a sender, at the one that divides
        time_point next_notice;
        time_point reported_at; // when its latest report that arrived was sent
    };
    struct sender_state {
        std::string name;
        rate_share share;
        bool knows_limit = false;
        bool runs = true;
        bool is_excused =
            false; // it was restarted or stood still, until half a second after it knows the limit
        time_point learned_at;
        time_point frozen_until;
        time_point next_report;
        int divided_by = first_divider; // as far as it knows

        // ---- while it takes itself for the one that divides
        std::optional<rate_divider> divider;
        time_point next_divide;
        std::map<std::string, peer_state> peers; // by name
    };
    struct pending {
        time_point at;
        std::function<void()> action;
    };

    auto at(int sender) -> sender_state& { return senders_[static_cast<std::size_t>(sender)]; }
    [[nodiscard]] static auto since_start(time_point when) -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()) - milliseconds{1'000'000};
    }

    auto start_divider() -> void { at(first_divider).divider.emplace(++divider_run_); }

    auto is_active(sender_state const& sender) const -> bool
    {
        return sender.runs && sender.frozen_until <= now_;
    }

    // A datagram that reaches a process which stands still is read once it goes on.
    auto send_datagram(std::function<void()> action) -> void
    {
        if (random_.fraction() < settings_.loss) return;
        auto const delay = random_.fraction() * static_cast<double>(settings_.max_delay.count());
        queue_.push_back({now_ + milliseconds{1 + static_cast<long long>(delay)}, std::move(action)});
    }

    auto learn(sender_state& sender) -> void
    {
        if (sender.knows_limit) return;
        sender.knows_limit = true;
        sender.learned_at = now_;
        sender.share.set_limit(settings_.limit, settings_.senders, random_.fraction(), now_);
        sender.next_report = now_;
    }

    auto is_limited() const -> bool { return since_start(now_) >= settings_.named_at; }

    auto advance() -> void
    {
        auto due = std::vector<pending>{};
        std::erase_if(queue_, [&](auto& each) {
            if (each.at > now_) return false;
            due.push_back(std::move(each));
            return true;
        });
        for (auto& each : due)
            each.action();
        for (auto i = std::size_t{0}; i < senders_.size(); ++i)
            if (is_active(senders_[i])) advance_sender(senders_[i], demand_[i]);
        for (auto& sender : senders_)
            if (is_active(sender)) advance_divider(sender);
    }

    [[nodiscard]] auto takes_itself_for_divider(sender_state const& sender) -> bool
    {
        return &at(sender.divided_by) == &sender;
    }

    auto advance_divider(sender_state& sender) -> void
    {
        if (!takes_itself_for_divider(sender)) return sender.divider.reset();
        if (!sender.knows_limit || now_ < sender.next_divide) return;
        if (!sender.divider) {
            sender.divider.emplace(++divider_run_);
            sender.peers.clear();
        }
        divide(sender);
    }

    auto advance_sender(sender_state& sender, double demand) -> void
    {
        auto const expected = demand * std::chrono::duration<double>(step).count();
        auto calls =
            static_cast<int>(expected) + (random_.fraction() < expected - std::floor(expected) ? 1 : 0);
        for (; calls > 0; --calls)
            call(sender);
        if (!sender.knows_limit) return;
        auto const is_early = now_ >= sender.next_report - report_interval + min_report_interval;
        if (now_ >= sender.next_report || (is_early && sender.share.has_urgent_report(now_))) report(sender);
    }

    auto call(sender_state& sender) -> void
    {
        sender.share.record_demand(now_);
        if (sender.share.is_limited() && !sender.share.take(now_)) {
            ++refused_;
            return;
        }
        sender.share.record_send(now_);
        auto const arrives_at = now_ + milliseconds{1 + static_cast<long long>(random_.fraction() * 20)};
        auto const is_told = sender.knows_limit && now_ >= sender.learned_at + milliseconds{500};
        if (is_told || !sender.is_excused) arrivals_.push_back(arrives_at);
        if (!is_limited()) return;
        queue_.push_back({arrives_at + milliseconds{100}, [this, &sender] { on_limit_named(sender); }});
    }

    // A sender that learns the limit from a response tells all others, and again a little later.
    auto on_limit_named(sender_state& sender) -> void
    {
        if (!is_active(sender) || sender.knows_limit) return;
        learn(sender);
        for (auto& other : senders_)
            for (auto i = 0; i < 2; ++i)
                send_datagram([this, &other] {
                    if (is_active(other)) learn(other);
                });
    }

    auto report(sender_state& sender) -> void
    {
        sender.next_report = now_ + report_interval;
        auto const message = sender.share.report(sender.name, now_);
        auto const sent_at = now_;
        auto& to = at(sender.divided_by);
        auto const arrive = [this, &to, message, sent_at] {
            if (!is_active(to)) return;
            learn(to);
            if (!to.divider) return;
            to.divider->on_report(message, now_);
            auto& reported_at = to.peers[message.sender].reported_at;
            reported_at = std::max(reported_at, sent_at);
        };
        if (&sender == &to) return arrive();
        send_datagram(arrive);
    }

    auto divide(sender_state& by) -> void
    {
        by.next_divide = now_ + divide_interval;
        by.divider->divide(settings_.limit, settings_.senders, now_);
        for (auto& sender : senders_) {
            auto& peer = by.peers[sender.name];
            if (now_ < peer.next_notice && !by.divider->has_changed(sender.name)) continue;
            peer.next_notice = now_ + notice_interval;
            auto const grant = by.divider->grant_for(sender.name, now_);
            auto const reported_at = peer.reported_at;
            auto const made_at = now_ - settings_.max_delay; // the time of the report's way is unknown
            auto const take = [this, &by, &sender, grant, reported_at, made_at] {
                if (!is_active(sender)) return;
                learn(sender);
                if (grant && &at(sender.divided_by) == &by)
                    sender.share.on_grant(*grant, reported_at, made_at, now_);
            };
            if (&sender == &by)
                take();
            else
                send_datagram(take);
        }
    }

    rate_fleet_settings settings_;
    random_source random_;
    std::vector<sender_state> senders_;
    std::vector<double> demand_;
    std::uint64_t divider_run_ = 0;
    time_point now_{milliseconds{1'000'000}};
    std::vector<pending> queue_;
    std::vector<time_point> arrivals_;
    int refused_ = 0;
};

} // namespace hibiscuswall
