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

/// Reads typed fields of one JSON object and remembers the first that is wrong.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object_(object)
    {
        if (!object.is_object()) {
            wrong_ = "object";
        }
    }

    std::int64_t number(const char *name, std::int64_t least, std::int64_t most, std::int64_t otherwise)
    {
        const Json *field = find(name);
        if (!field) {
            return otherwise;
        }
        if (!field->is_number_integer() || (field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(most))) {
            return fail(name, otherwise);
        }
        const auto value = field->get<std::int64_t>();
        return value < least || value > most ? fail(name, otherwise) : value;
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

    std::string text(const char *name, std::size_t most)
    {
        const Json *field = find(name);
        if (!field) {
            return {};
        }
        return field->is_string() && field->get_ref<const std::string &>().size() <= most ? field->get<std::string>() : fail(name, std::string());
    }

    bool flag(const char *name, bool otherwise)
    {
        const Json *field = find(name);
        if (!field) {
            return otherwise;
        }
        return field->is_boolean() ? field->get<bool>() : fail(name, otherwise);
    }

    template<class Enum>
    Enum word(const char *name, Enum last, Enum otherwise)
    {
        const std::string text = this->name(name, false);
        if (text.empty()) {
            return otherwise;
        }
        for (int i = 0; i <= static_cast<int>(last); ++i) {
            if (text == toString(static_cast<Enum>(i))) {
                return static_cast<Enum>(i);
            }
        }
        return fail(name, otherwise);
    }

    [[nodiscard]] const Json *find(const char *name) const
    {
        const auto found = object_.find(name);
        return object_.is_object() && found != object_.end() ? &*found : nullptr;
    }

    template<class T>
    T fail(const char *name, T otherwise)
    {
        if (wrong_.empty()) {
            wrong_ = name;
        }
        return otherwise;
    }

    [[nodiscard]] Result<void> finish() const
    {
        if (!wrong_.empty()) {
            return leaf::new_error(DocumentError{DocumentErrc::WrongField, wrong_});
        }
        return {};
    }

private:
    const Json &object_;
    std::string wrong_;
};

JobSpec readSpec(FieldReader &fields)
{
    JobSpec spec;
    spec.id_ = JobId(fields.name("id", false));
    spec.workspace_ = WorkspaceId(fields.name("workspace", true));
    spec.tasks_ = static_cast<std::int32_t>(fields.number("tasks", 1, maxTasks, 1));
    spec.each_.cores_ = static_cast<std::int32_t>(fields.number("cores", 0, maxAmount, 0));
    spec.each_.memoryMb_ = static_cast<std::int32_t>(fields.number("memory_mb", 0, maxAmount, 0));
    spec.each_.accelerators_ = static_cast<std::int32_t>(fields.number("accelerators", 0, maxAmount, 0));
    spec.within_ = fields.word("within", Adjacency::DataCentre, Adjacency::DataCentre);
    spec.urgent_ = fields.flag("urgent", false);
    spec.stoppable_ = fields.flag("stoppable", true);
    spec.payload_ = fields.text("payload", maxPayloadBytes);
    spec.expectedRunTime_ = std::chrono::seconds(fields.number("declared_s", 0, maxAmount, 0));
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
    constexpr const char *words[] = {"borrowed", "urgent", "firm", "guaranteed"};
    return words[static_cast<std::size_t>(tenure)];
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
    record.state_ = fields.word("state", JobState::Cancelled, JobState::Queued);
    record.generation_ = static_cast<std::uint32_t>(fields.number("generation", 0, std::numeric_limits<std::uint32_t>::max(), 0));
    readMembers(fields, record);
    record.dataCentre_ = DataCentreId(fields.name("datacentre", false));
    record.tenure_ = readTenure(fields);
    record.guarantee_ = GuaranteeId(fields.name("guarantee", false));
    record.failures_ = static_cast<std::int32_t>(fields.number("failures", 0, maxAmount, 0));
    record.cancelRequested_ = fields.flag("cancel", false);
    record.reason_ = fields.word("reason", JobReason::NeverFits, JobReason::None);
    record.submitted_ = WallTime(std::chrono::seconds(fields.number("submitted", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    record.finished_ = WallTime(std::chrono::seconds(fields.number("finished", 0, std::numeric_limits<std::int64_t>::max(), 0)));
    BOOST_LEAF_CHECK(fields.finish());
    return record;
}

}

const char *toString(JobReason reason) noexcept
{
    constexpr const char *words[] = {"none", "task_failed", "worker_lost", "datacentre_out", "preempted", "cancelled", "never_fits"};
    return words[static_cast<std::size_t>(reason)];
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
    if (fields.number("version", shardVersion, shardVersion, 0) != shardVersion) {
        return leaf::new_error(DocumentError{DocumentErrc::WrongVersion, "version"});
    }
    JobShard shard;
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    shard.epoch_ = static_cast<std::uint64_t>(fields.number("epoch", 0, most, 0));
    shard.ownerSequence_ = static_cast<std::uint64_t>(fields.number("owner_sequence", 0, most, 0));
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
