#include "core/scheduling/job_record.h"

#include "config/utf8.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace bergamotwick {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxPayloadBytes = 4'096;
constexpr std::int32_t maxTasks = 1'024;
constexpr std::int32_t maxAmount = 1'000'000'000;
constexpr int shardVersion = 1;

/// Reads typed fields of one JSON object and records the name of the first invalid one.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object_(object)
    {
        if (!object.is_object()) {
            invalidField_ = "object";
        }
    }

    std::int64_t integer(const char *name, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
    {
        const Json *field = find(name);
        if (!field) {
            return fallback;
        }
        if (!field->is_number_integer() || (field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum))) {
            return fail(name, fallback);
        }
        const auto value = field->get<std::int64_t>();
        return value < minimum || value > maximum ? fail(name, fallback) : value;
    }

    std::string name(const char *name, bool required)
    {
        const Json *field = find(name);
        if (!field) {
            return required ? fail(name, std::string()) : std::string();
        }
        if (!field->is_string() || field->get_ref<const std::string &>().size() > maxNameLength
            || (required && field->get_ref<const std::string &>().empty())) {
            return fail(name, std::string());
        }
        return *field;
    }

    std::string text(const char *name, std::size_t maximum)
    {
        const Json *field = find(name);
        if (!field) {
            return {};
        }
        return field->is_string() && field->get_ref<const std::string &>().size() <= maximum ? field->get<std::string>() : fail(name, std::string());
    }

    bool boolean(const char *name, bool fallback)
    {
        const Json *field = find(name);
        if (!field) {
            return fallback;
        }
        return field->is_boolean() ? field->get<bool>() : fail(name, fallback);
    }

    template<class Enum>
    Enum enumValue(const char *name, Enum last, Enum fallback)
    {
        const std::string text = this->name(name, false);
        if (text.empty()) {
            return fallback;
        }
        for (int i = 0; i <= static_cast<int>(last); ++i) {
            if (text == toString(static_cast<Enum>(i))) {
                return static_cast<Enum>(i);
            }
        }
        return fail(name, fallback);
    }

    [[nodiscard]] const Json *find(const char *name) const
    {
        const auto found = object_.find(name);
        return object_.is_object() && found != object_.end() ? &*found : nullptr;
    }

    template<class T>
    T fail(const char *name, T fallback)
    {
        if (invalidField_.empty()) {
            invalidField_ = name;
        }
        return fallback;
    }

    [[nodiscard]] Result<void> finish() const
    {
        if (!invalidField_.empty()) {
            return leaf::new_error(DocumentError{DocumentErrc::WrongField, invalidField_});
        }
        return {};
    }

private:
    const Json &object_;
    std::string invalidField_;
};

JobSpec readSpec(FieldReader &fields)
{
    JobSpec spec;
    spec.id_ = JobId(fields.name("id", false));
    spec.workspace_ = WorkspaceId(fields.name("workspace", true));
    spec.tasks_ = static_cast<std::int32_t>(fields.integer("tasks", 1, maxTasks, 1));
    spec.each_.cores_ = static_cast<std::int32_t>(fields.integer("cores", 0, maxAmount, 0));
    spec.each_.memoryMb_ = static_cast<std::int32_t>(fields.integer("memory_mb", 0, maxAmount, 0));
    spec.each_.accelerators_ = static_cast<std::int32_t>(fields.integer("accelerators", 0, maxAmount, 0));
    spec.within_ = fields.enumValue("within", Adjacency::DataCentre, Adjacency::DataCentre);
    spec.urgent_ = fields.boolean("urgent", false);
    spec.stoppable_ = fields.boolean("stoppable", true);
    spec.payload_ = fields.text("payload", maxPayloadBytes);
    spec.expectedRunTime_ = std::chrono::seconds(fields.integer("declared_s", 0, maxAmount, 0));
    return spec;
}

Json writeSpec(const JobSpec &spec)
{
    return {{"id", spec.id_.str()},
            {"workspace", spec.workspace_.str()},
            {"tasks", spec.tasks_},
            {"cores", spec.each_.cores_},
            {"memory_mb", spec.each_.memoryMb_},
            {"accelerators", spec.each_.accelerators_},
            {"within", toString(spec.within_)},
            {"urgent", spec.urgent_},
            {"stoppable", spec.stoppable_},
            {"declared_s", spec.expectedRunTime_.count()},
            {"payload", spec.payload_}};
}

const char *toString(Tenure tenure) noexcept
{
    constexpr const char *names[] = {"borrowed", "urgent", "firm", "guaranteed"};
    return names[static_cast<std::size_t>(tenure)];
}

Json writeRecord(const JobRecord &record)
{
    Json out = writeSpec(record.spec_);
    out["state"] = toString(record.state_);
    out["generation"] = record.generation_;
    Json members = Json::object();
    for (const MemberRecord &member : record.members_) {
        members[member.worker_.str()] = member.tasks_;
    }
    out["members"] = std::move(members);
    out["datacentre"] = record.dataCentre_.str();
    out["tenure"] = toString(record.tenure_);
    out["guarantee"] = record.guarantee_.str();
    out["failures"] = record.failures_;
    out["cancel"] = record.cancelRequested_;
    out["reason"] = toString(record.reason_);
    out["submitted"] = record.submitted_.time_since_epoch().count();
    out["finished"] = record.finished_.time_since_epoch().count();
    return out;
}

Tenure readTenure(FieldReader &fields)
{
    const std::string text = fields.name("tenure", false);
    for (std::size_t i = 0; i < tenureCount; ++i) {
        if (text == toString(static_cast<Tenure>(i))) {
            return static_cast<Tenure>(i);
        }
    }
    return fields.fail("tenure", Tenure::Borrowed);
}

void readMembers(FieldReader &fields, JobRecord &record)
{
    const Json *members = fields.find("members");
    if (!members || !members->is_object()) {
        fields.fail("members", 0);
        return;
    }
    for (const auto &[worker, tasks] : members->items()) {
        if (!tasks.is_number_integer() || tasks.get<std::int64_t>() < 1 || tasks.get<std::int64_t>() > maxTasks) {
            fields.fail("members", 0);
            return;
        }
        record.members_.push_back({WorkerId(worker), tasks});
    }
}

Result<JobRecord> readRecord(const Json &json)
{
    FieldReader fields(json);
    JobRecord record;
    record.spec_ = readSpec(fields);
    record.state_ = fields.enumValue("state", JobState::Cancelled, JobState::Queued);
    record.generation_ = static_cast<std::uint32_t>(fields.integer("generation", 0, std::numeric_limits<std::uint32_t>::max(), 0));
    readMembers(fields, record);
    record.dataCentre_ = DataCentreId(fields.name("datacentre", false));
    record.tenure_ = readTenure(fields);
    record.guarantee_ = GuaranteeId(fields.name("guarantee", false));
    record.failures_ = static_cast<std::int32_t>(fields.integer("failures", 0, maxAmount, 0));
    record.cancelRequested_ = fields.boolean("cancel", false);
    record.reason_ = fields.enumValue("reason", JobReason::NeverFits, JobReason::None);
    record.submitted_ = WallTime(std::chrono::seconds(fields.integer("submitted", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    record.finished_ = WallTime(std::chrono::seconds(fields.integer("finished", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    BOOST_LEAF_CHECK(fields.finish());
    return record;
}

}

const char *toString(JobReason reason) noexcept
{
    constexpr const char *names[] = {"none", "task_failed", "worker_lost", "datacentre_out", "preempted", "cancelled", "never_fits"};
    return names[static_cast<std::size_t>(reason)];
}

std::string encodeShard(const JobShard &shard)
{
    Json jobs = Json::array();
    for (const auto &[id, record] : shard.jobs_) {
        jobs.push_back(writeRecord(record));
    }
    const Json document = {{"version", shardVersion}, {"epoch", shard.epoch_}, {"owner_sequence", shard.ownerSequence_}, {"jobs", std::move(jobs)}};
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobShard> decodeShard(const std::string &text)
{
    if (text.empty()) {
        return JobShard{};
    }
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "jobs"});
    }
    FieldReader fields(document);
    if (fields.integer("version", shardVersion, shardVersion, 0) != shardVersion) {
        return leaf::new_error(DocumentError{DocumentErrc::WrongVersion, "version"});
    }
    JobShard shard;
    constexpr std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    shard.epoch_ = static_cast<std::uint64_t>(fields.integer("epoch", 0, maximum, 0));
    shard.ownerSequence_ = static_cast<std::uint64_t>(fields.integer("owner_sequence", 0, maximum, 0));
    const Json *jobs = fields.find("jobs");
    if (!jobs || !jobs->is_array()) {
        return leaf::new_error(DocumentError{DocumentErrc::WrongField, "jobs"});
    }
    BOOST_LEAF_CHECK(fields.finish());
    for (const Json &json : *jobs) {
        BOOST_LEAF_AUTO(record, readRecord(json));
        shard.jobs_[record.spec_.id_] = std::move(record);
    }
    return shard;
}

Result<JobSpec> decodeJobSpec(const std::string &text)
{
    if (!isUtf8(text)) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "body"});
    }
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return leaf::new_error(DocumentError{DocumentErrc::NotJson, "body"});
    }
    FieldReader fields(document);
    JobSpec spec = readSpec(fields);
    BOOST_LEAF_CHECK(fields.finish());
    return spec;
}

std::string encodeRecord(const JobRecord &record)
{
    return writeRecord(record).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
