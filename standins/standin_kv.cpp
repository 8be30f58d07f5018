// Stand-in for the platform's key-value service (docs/platform.md), with faults set by POST /v1/fault.
#include "support/key_value_table.hpp"
#include "support/standin_program.hpp"

using namespace hibiscuswall;

namespace {

auto set_faults(key_value_table& table, nlohmann::json const& wanted) -> void
{
    table.down = wanted.value("unavailable", false);
    table.down_for_writes = wanted.value("unavailable_for_writes", false);
    table.delay = milliseconds{wanted.value("delay_ms", 0)};
    table.drop_responses = wanted.value("lose_answers", 0);
    table.silent_watches = wanted.value("silent_watches", false);
    if (wanted.value("compact", false)) table.compacted = table.revision + 1;
    // Waiting watches end with the outage, as they would with the service's process.
    table.wake();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto program = standin_program{"standin-kv", "stand-in for the key-value service"};
    if (auto const code = program.parse(argc, argv)) return *code;
    auto table = key_value_table{program.io()};
    table.serve(program.routes());
    program.add("GET", "/v1/stats", [&](http_request const& /*request*/, http_responder& out) {
        return send_json(out, 200, table.stats());
    });
    program.add("POST", "/v1/fault", [&](http_request const& request, http_responder& out) {
        auto const wanted = body_object(request);
        set_faults(table, wanted);
        return send_json(out, 200, wanted);
    });
    return program.run();
}
