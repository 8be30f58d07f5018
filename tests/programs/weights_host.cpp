// Runs the request gate and the weights service of one host alone, with a fixed member list and a
// configuration set by POST /declare. Used to measure transfer and activation without the rest of the agent
// (tools/measures/weights.py).
#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/daemon_settings.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/weights_service.hpp"

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

using namespace hibiscuswall;

namespace {

class declared_config final : public config_source {
public:
    [[nodiscard]] auto current() const -> config_view_ptr override { return view_; }
    [[nodiscard]] auto confirmed(time_point /*now*/) const -> bool override { return view_ != nullptr; }
    auto subscribe(std::function<void(config_view const&)> changed) -> void override
    {
        changed_.push_back(std::move(changed));
    }
    auto declare(nlohmann::json const& body, std::string const& domain) -> void
    {
        auto next = std::make_shared<config_view>();
        next->revision = ++revision_;
        auto service = service_resource{};
        service.name = "drafting";
        next->services["drafting"] = service;
        auto serving = model_serving{};
        serving.name = "m";
        serving.model = body.value("model", "m");
        serving.version = body.value("version", "");
        serving.service = "drafting";
        serving.failure_domains = body.value("failure_domains", std::vector<std::string>{domain});
        serving.batch = body.value("batch", 1);
        next->servings["m"] = serving;
        view_ = next;
        for (auto const& changed : changed_)
            changed(*view_);
    }

private:
    config_view_ptr view_;
    std::uint64_t revision_ = 0;
    std::vector<std::function<void(config_view const&)>> changed_;
};

class fixed_members final : public member_source {
public:
    explicit fixed_members(std::vector<member> list) : list_{std::move(list)} {}
    [[nodiscard]] auto members() const -> std::vector<member> override { return list_; }
    [[nodiscard]] auto find(std::string_view name) const -> member const* override
    {
        auto const found =
            std::find_if(list_.begin(), list_.end(), [&](auto const& host) { return host.name == name; });
        return found == list_.end() ? nullptr : &*found;
    }
    auto subscribe(std::function<void(member const&)> /*changed*/) -> void override {}

private:
    std::vector<member> list_;
};

auto run(nlohmann::json const& settings) -> int
{
    auto errors = std::vector<std::string>{};
    auto reader = settings_reader{settings, "", errors};
    auto self = member{};
    read_identity(reader, self);
    self.service = "drafting";
    self.control_address = reader.endpoint_address("listen");
    self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    auto const seed = static_cast<std::uint64_t>(reader.integer("seed", 1, 0, 1LL << 40));
    auto const engine = reader.endpoint_address("engine");
    auto const platform = read_platform_settings(reader.child("platform"));
    auto const weights = read_weights_settings(reader.child("weights"));
    auto const charges_requests = reader.boolean("charge_live", true); // false for the baseline measurement
    if (!errors.empty()) {
        std::cerr << errors.front() << "\n";
        return exit_usage;
    }
    auto list = std::vector<member>{};
    for (auto const& item : settings["members"])
        if (auto parsed = member_from_json(item); parsed && parsed->name != self.name)
            list.push_back(*parsed);

    auto const log = log_writer{self.name, log_level::warning};
    auto base = daemon_base{self, seed};
    auto& context = base.context();
    auto config = declared_config{};
    auto members = fixed_members{std::move(list)};
    auto store = key_value_client{context.client, platform.key_value, platform.timeout};
    auto client = engine_client{context.client, engine, platform.timeout};
    auto endpoint = endpoint_settings{};
    endpoint.target_address = engine;
    endpoint.service = "drafting";
    auto gate = request_gate{context, config, endpoint, {}};
    auto service = weights_service{
        context, config, members, store, &client, gate, {platform.weight_store, platform.origin}, weights};
    context.control.add("POST", "/declare",
                        [&](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                            config.declare(nlohmann::json::parse(request.body), self.failure_domain);
                            co_await out.send({200, {}, "declared\n"});
                        });
    if (charges_requests)
        gate.on_request_traffic([&](request_traffic const& traffic) {
            service.charge_request_traffic(traffic.received, traffic.sent);
        });
    gate.start();
    service.start();
    auto const bound = base.listen_control(self.control_address, {});
    if (!bound) {
        std::cerr << bound.error().message << "\n";
        return exit_failure;
    }
    return base.run();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: weights-host SETTINGS.json\n";
        return exit_usage;
    }
    auto file = std::ifstream{argv[1]};
    auto text = std::stringstream{};
    text << file.rdbuf();
    auto const settings = nlohmann::json::parse(text.str(), nullptr, false);
    if (!settings.is_object()) return exit_usage;
    return run(settings);
}
