#include "daemon/pages.h"

#include "core/scheduling/guarantees.h"

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json dataCentresJson(const Entry &entry)
{
    Json dataCentres = Json::object();
    for (const auto &[region, regionConfig] : entry.config().regions_) {
        for (const auto &[name, dataCentre] : regionConfig.dataCentres_) {
            dataCentres[name.str()] = {{"region", region.str()},
                                       {"in_service", !entry.control().outOfService_.contains(name)},
                                       {"workers_declared", dataCentre.workers_},
                                       {"workers_reporting", 0},
                                       {"accelerators_free", 0},
                                       {"largest_free_block", 0}};
        }
    }
    return dataCentres;
}

void addWorkers(const Entry &entry, Json &dataCentres)
{
    const Fleet &fleet = entry.scheduler().state().fleet_;
    for (const Worker &worker : fleet.workers()) {
        const std::string &name = fleet.dataCentreId(worker.dataCentre_).str();
        if (!worker.alive_ || !dataCentres.contains(name)) {
            continue;
        }
        Json &dataCentre = dataCentres[name];
        const std::int32_t free = std::max(worker.free().accelerators_, 0);
        dataCentre["workers_reporting"] = dataCentre["workers_reporting"].get<int>() + 1;
        dataCentre["accelerators_free"] = dataCentre["accelerators_free"].get<int>() + free;
        dataCentre["largest_free_block"] = std::max(dataCentre["largest_free_block"].get<int>(), free);
    }
}

Json executorsJson(const Entry &entry)
{
    Json executors = Json::object();
    for (const auto &[id, executor] : entry.router().state().executors_) {
        executors[id.str()] = {{"service", executor.service_.str()},
                               {"datacentre", executor.dataCentre_.str()},
                               {"slots", executor.slots_},
                               {"in_use", executor.inUse_},
                               {"leaving", executor.leaving_}};
    }
    return executors;
}

Json queuesJson(const Entry &entry)
{
    Json queues = Json::object();
    for (const auto &[service, queue] : entry.router().state().services_) {
        for (const auto &[name, classQueue] : queue.classes_) {
            queues[service.str()][name.str()] = {{"queued", classQueue.queued_}, {"in_use", classQueue.inUse_}};
        }
    }
    return queues;
}

}

std::string statusJson(const Entry &entry, const EntryIdentity &identity, Instant now)
{
    Json dataCentres = dataCentresJson(entry);
    addWorkers(entry, dataCentres);
    Json entries = Json::object();
    for (const auto &[id, address] : entry.membership().entries()) {
        entries[id.str()] = address;
    }
    const SchedulerState &state = entry.scheduler().state();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.lastRead()).count();
    return dumpJson({{"entry", identity.id_.str()},
                     {"region", identity.region_.str()},
                     {"ready", entry.ready()},
                     {"revision", entry.control().revision_},
                     {"store_read_ms_ago", age},
                     {"owner", entry.membership().ownerName()},
                     {"owns_region", entry.scheduler().active()},
                     {"epoch", state.epoch_},
                     {"entries", std::move(entries)},
                     {"datacentres", std::move(dataCentres)},
                     {"jobs_queued", state.queued_.size()},
                     {"jobs_live", state.live_.size()},
                     {"guarantees_without_block", unboundReservationCount(state)},
                     {"executors", executorsJson(entry)},
                     {"queues", queuesJson(entry)}});
}

std::string burnJson(const std::vector<ObjectiveBurn> &objectives)
{
    Json out = Json::array();
    for (const ObjectiveBurn &objective : objectives) {
        out.push_back({{"workspace", objective.workspace_.str()},
                       {"service", objective.service_.str()},
                       {"within_ms", std::chrono::duration_cast<std::chrono::milliseconds>(objective.objective_.within_).count()},
                       {"ratio", objective.objective_.ratio_},
                       {"good", objective.good_},
                       {"total", objective.total_},
                       {"burn_short", objective.shortBurnRate_},
                       {"burn_long", objective.longBurnRate_},
                       {"budget_left", objective.errorBudgetLeft_}});
    }
    return dumpJson(out);
}

std::string controlJson(const ControlDocument &control)
{
    Json out = Json::array();
    for (const DataCentreId &dataCentre : control.outOfService_) {
        out.push_back(dataCentre.str());
    }
    return dumpJson({{"revision", control.revision_}, {"settings", Json::parse(control.settings_.toJson())}, {"out", std::move(out)}});
}

std::string jobsJson(const SubmissionRegistry &submissions)
{
    Json jobs = Json::array();
    for (const auto &shard : submissions.shards()) {
        for (const auto &[id, record] : shard->document().jobs_) {
            jobs.push_back(Json::parse(encodeRecord(record)));
        }
    }
    return dumpJson(jobs);
}

}
