// Calls to an entry that the store turns away, over loopback, beside an entry that the store serves.

#include "job_service.h"

#include "../../soak/store_stand_in.h"
#include "core/batch/codec.h"
#include "http_status.h"
#include "keys.h"
#include "support/running_server.h"

#include <atomic>
#include <thread>

namespace bergamotwick::test {

namespace {

constexpr const char *operatorConfig = R"({"version":1,"routes":[{"name":"usual","host":"h","prefix":"/n/","service":"service","priority":1,)"
                                       R"("max_attempts":3,"stretch":3,"target_latency_ms":1000,"public":true}],)"
                                       R"("services":[{"name":"service"}],"tenants":[],"limits":{"max_body_bytes":262144}})";

constexpr const char *jobId = "00000000000000aa";

/// An entry that reads the configuration from one store and jobs from another, since a store may serve one call and turn away the next.
struct Entry
{
    Entry(const std::string &name, soak::StoreStandIn &configStore, soak::StoreStandIn &jobStore, node::Forwarder::FindMembers findMembers)
        : configStore_(configStore)
        , configClient_(configStore.address())
        , jobClient_(jobStore.address())
        , config_(configClient_, [] {})
        , forwarder_(name, std::move(findMembers))
        , service_(
              jobClient_, config_, forwarder_, [](const std::string &) { return std::nullopt; }, metrics_, std::chrono::hours(1), soak::maxValueBytes)
        , configThread_([this] { config_.run(); })
    {
        while (!service_.ready()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    ~Entry()
    {
        config_.stop();
        configStore_.put("op/config", operatorConfig); // makes the pending watch return
        configThread_.join();
    }

    soak::StoreStandIn &configStore_;
    platform::StoreClient configClient_;
    platform::StoreClient jobClient_;
    Metrics metrics_;
    node::ConfigReplica config_;
    node::Forwarder forwarder_;
    node::JobService service_;
    std::thread configThread_;
};

}

class JobServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobServiceTest);
    CPPUNIT_TEST(stateIsReadThroughAnotherEntry);
    CPPUNIT_TEST(cancelIsStoredThroughAnotherEntry);
    CPPUNIT_TEST(missingJobIsReportedThroughAnotherEntry);
    CPPUNIT_TEST(cancelledJobIsNotStoredAfterwards);
    CPPUNIT_TEST(cancelledJobIsNotStoredByALateWrite);
    CPPUNIT_TEST(storedJobIsAcceptedAgainAfterItsCancel);
    CPPUNIT_TEST(settingsOfTheQueueAreStoredWithTheJob);
    CPPUNIT_TEST(callGoesOnToTheNextEntryAtOnce);
    CPPUNIT_TEST(submissionGoesOnToTheNextEntry);
    CPPUNIT_TEST(submissionThatAnEntryMayStoreIsNotRefusedByTheNext);
    CPPUNIT_TEST(submissionThatAnotherEntryMayStoreIsNotRefused);
    CPPUNIT_TEST(submissionThatNoOtherEntryGotIsRefused);
    CPPUNIT_TEST(submissionThatCanNotBeKeptIsRefusedWithItsReason);
    CPPUNIT_TEST(jobThatRunsOnceAMinuteForAMonthIsAccepted);
    CPPUNIT_TEST(submissionThatCanNotBeReadIsRefusedWithItsField);
    CPPUNIT_TEST_SUITE_END();

public:
    JobServiceTest()
    {
        store_.put("op/config", operatorConfig);
        soak::StoreFaults away;
        away.down_ = true;
        awayStore_.setFaults(away);
    }

    void stateIsReadThroughAnotherEntry()
    {
        batch::Progress progress;
        progress.id_ = JobId(jobId);
        progress.state_ = batch::JobState::Completed;
        store_.put(node::keys::progress + jobId, batch::encode(progress));
        const Pair entries(*this);
        const platform::Answer answer = entries.cut_->service_.answer(call(platform::CallMethod::Read));
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, answer.status_);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), answer.body_);
        requireOneStoreCallPerForwardedCall(entries);
    }

    void cancelIsStoredThroughAnotherEntry()
    {
        store_.put(node::keys::jobs + jobId, "job");
        const Pair entries(*this);
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entries.cut_->service_.answer(call(platform::CallMethod::Cancel)).status_);
        platform::StoreClient client(store_.address());
        CPPUNIT_ASSERT(value(client.get(node::keys::cancels + jobId, hangTimeout)).has_value());
    }

    void missingJobIsReportedThroughAnotherEntry()
    {
        const Pair entries(*this);
        CPPUNIT_ASSERT_EQUAL(platform::statusGone, entries.cut_->service_.answer(call(platform::CallMethod::Read)).status_);
        requireOneStoreCallPerForwardedCall(entries);
    }

    /// A job ran after its cancel was answered 410: an entry still stored it, though its caller had left.
    void cancelledJobIsNotStoredAfterwards()
    {
        const Pair entries(*this);
        CPPUNIT_ASSERT_EQUAL(platform::statusGone, entries.served_->service_.answer(call(platform::CallMethod::Cancel)).status_);
        CPPUNIT_ASSERT_EQUAL(platform::statusGone, entries.served_->service_.answer(submission()).status_);
        CPPUNIT_ASSERT_EQUAL(platform::statusGone, entries.cut_->service_.answer(submission()).status_);
        CPPUNIT_ASSERT(store_.values(node::keys::jobs).empty());
    }

    /// As above, by a write that is carried out late. If it is carried out before the cancel, the cancel finds the job.
    void cancelledJobIsNotStoredByALateWrite()
    {
        Entry entry("served", store_, store_, [] { return node::Members(); });
        soak::StoreFaults late;
        late.delayedWriteRate_ = 1;
        store_.setFaults(late);
        platform::Call shortCall = submission();
        shortCall.timeout_ = std::chrono::milliseconds(300);
        CPPUNIT_ASSERT_EQUAL(platform::statusTimeout, entry.service_.answer(shortCall).status_);
        store_.setFaults({});
        const int status = entry.service_.answer(call(platform::CallMethod::Cancel)).status_;
        CPPUNIT_ASSERT(status == platform::statusGone || status == platform::statusOk);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500)); // the late write has been carried out, or has failed
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.values(node::keys::cancels).size());
        CPPUNIT_ASSERT_EQUAL(status == platform::statusGone, store_.values(node::keys::jobs).empty());
    }

    void storedJobIsAcceptedAgainAfterItsCancel()
    {
        Entry entry("served", store_, store_, [] { return node::Members(); });
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entry.service_.answer(submission()).status_);
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entry.service_.answer(call(platform::CallMethod::Cancel)).status_);
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entry.service_.answer(submission()).status_);
    }

    /// A leader that doesn't find the queue in its configuration took one attempt for all that the job had.
    void settingsOfTheQueueAreStoredWithTheJob()
    {
        Entry entry("served", store_, store_, [] { return node::Members(); });
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entry.service_.answer(submission()).status_);
        const std::vector<std::string> records = store_.values(node::keys::settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.size());
        const auto record = value(batch::decodeAcceptedSettings(records.at(0)));
        CPPUNIT_ASSERT(record.id_ == JobId(jobId));
        CPPUNIT_ASSERT(record.settings_ == (batch::QueueSettings{ServiceId("service"), 1, 3, 3, std::chrono::seconds(1), std::nullopt}));
    }

    /// An entry that the store turned away as well tried for 0.8 s before the next one was asked.
    void callGoesOnToTheNextEntryAtOnce()
    {
        const Three entries(*this, awayStore_);
        store_.put(node::keys::jobs + jobId, "job");
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entries.cut_.service_.answer(call(platform::CallMethod::Read)).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, awayStore_.requestCount());
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entries.cut_.service_.answer(call(platform::CallMethod::Cancel)).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, awayStore_.requestCount()); // the served entry is asked first now
    }

    void submissionGoesOnToTheNextEntry()
    {
        const Three entries(*this, awayStore_);
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, entries.cut_.service_.answer(submission()).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.values(node::keys::jobs).size());
    }

    /// A refusal says that the job never runs, but the first entry's write may be carried out.
    void submissionThatAnEntryMayStoreIsNotRefusedByTheNext()
    {
        soak::StoreStandIn lossyStore(3);
        lossyStore.put("op/config", operatorConfig);
        soak::StoreFaults late;
        late.delayedWriteRate_ = 1;
        lossyStore.setFaults(late);
        const Three entries(*this, lossyStore, &awayStore_);
        CPPUNIT_ASSERT_EQUAL(platform::statusTimeout, entries.cut_.service_.answer(submission()).status_);
    }

    void submissionThatAnotherEntryMayStoreIsNotRefused()
    {
        const Socket frozenEntry = value(listenTcp(*Address::parse("127.0.0.1:0"))); // its connections are never served
        CPPUNIT_ASSERT_EQUAL(platform::statusTimeout, submitBeside(frozenEntry.local()).status_);
    }

    void submissionThatNoOtherEntryGotIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(platform::statusUnavailable, submitBeside(freeAddress()).status_);
    }

    void submissionThatCanNotBeKeptIsRefusedWithItsReason()
    {
        const std::string steps = R"("steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":500}])";
        const std::string lasting = R"("steps":[{"count":1,"cpu":1000,"mem_mb":512,"long_running":true}])";
        const platform::Answer refused = submitToServed(R"({"spec":"500","repeats":43200,"interval_ms":60000,)" + lasting + "}");
        CPPUNIT_ASSERT_EQUAL(platform::statusTooLarge, refused.status_);
        CPPUNIT_ASSERT_MESSAGE(refused.body_, refused.body_.starts_with(R"({"found":43200,"limit":)"));
        CPPUNIT_ASSERT_MESSAGE(refused.body_, refused.body_.ends_with(R"("reason":"too-many-tasks-at-once"})"));
        CPPUNIT_ASSERT(store_.values(node::keys::jobs).empty());
        const std::string label(2 * soak::maxValueBytes, 'x');
        const platform::Answer tooLong = submitToServed(R"({"spec":"500","steps":[{"constraints":")" + label + R"("}]})", label.size() * 2);
        CPPUNIT_ASSERT_EQUAL(platform::statusTooLarge, tooLong.status_);
        CPPUNIT_ASSERT_MESSAGE(tooLong.body_, tooLong.body_.ends_with(R"("reason":"submission-too-large"})"));
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, submitToServed(R"({"spec":"500","repeats":10080,"interval_ms":60000,)" + steps + "}").status_);
    }

    void jobThatRunsOnceAMinuteForAMonthIsAccepted()
    {
        const std::string body = R"({"spec":"500","repeats":43200,"interval_ms":60000,"steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":500}]})";
        CPPUNIT_ASSERT_EQUAL(platform::statusOk, submitToServed(body).status_);
    }

    void submissionThatCanNotBeReadIsRefusedWithItsField()
    {
        const platform::Answer refused = submitToServed(R"({"spec":"500","repeats":2,"steps":[{"count":60000}]})");
        CPPUNIT_ASSERT_EQUAL(platform::statusBadRequest, refused.status_);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"field":"repeats","reason":"malformed"})"), refused.body_);
    }

private:
    /// Submits a job with \p body to an entry that the store serves. The configuration allows bodies of \p maxBodyBytes.
    platform::Answer submitToServed(const std::string &body, std::size_t maxBodyBytes = 0)
    {
        if (maxBodyBytes > 0) {
            std::string config = operatorConfig;
            const std::string usual = "262144";
            config.replace(config.find(usual), usual.size(), std::to_string(maxBodyBytes));
            store_.put("op/config", config);
        }
        Entry entry("served", store_, store_, [] { return node::Members(); });
        platform::Call submission = call(platform::CallMethod::Submit);
        submission.body_ = body;
        return entry.service_.answer(submission);
    }

    /// Submits a job to an entry that the store turns away, beside another one that accepts forwarded calls at \p forwardAddress.
    platform::Answer submitBeside(const Address &forwardAddress)
    {
        const Address agentAddress = forwardAddress.withPort(static_cast<std::uint16_t>(forwardAddress.port() - 1));
        Entry entry("cut", store_, awayStore_, [agentAddress] {
            node::Members members;
            members.entries_ = {{"other", agentAddress}};
            return members;
        });
        return entry.service_.answer(submission());
    }

    /// An entry that the store turns away, and one that it serves.
    struct Pair
    {
        explicit Pair(JobServiceTest &test)
            : listenAddress_(freeAddress())
        {
            const Address agentAddress = listenAddress_.withPort(static_cast<std::uint16_t>(listenAddress_.port() - 1));
            const auto findMembers = [agentAddress] {
                node::Members members;
                members.entries_ = {{"served", agentAddress}};
                return members;
            };
            served_ = std::make_unique<Entry>("served", test.store_, test.store_, findMembers);
            cut_ = std::make_unique<Entry>("cut", test.store_, test.awayStore_, findMembers);
            listener_ = new node::ForwardListener(listenAddress_, [this](const platform::Call &forwarded) {
                ++forwardedCalls_;
                return served_->service_.answer(forwarded);
            });
            CPPUNIT_ASSERT(static_cast<bool>(listener_->start()));
        }

        Address listenAddress_;
        std::atomic<std::size_t> forwardedCalls_{0};
        std::unique_ptr<Entry> served_;
        std::unique_ptr<Entry> cut_;
        node::ForwardListener *listener_ = nullptr; ///< never deleted: its thread runs until the process ends
    };

    /// An entry that the store turns away, and two others: "first" is served by \p firstStore and "second" by \p secondStore, or by the sound one.
    struct Three
    {
        Three(JobServiceTest &test, soak::StoreStandIn &firstStore, soak::StoreStandIn *secondStore = nullptr)
            : firstAddress_(freeAddress())
            , secondAddress_(freeAddress())
            , first_("first", test.store_, firstStore, [] { return node::Members(); })
            , second_("second", test.store_, secondStore != nullptr ? *secondStore : test.store_, [] { return node::Members(); })
            , cut_("cut", test.store_, test.awayStore_, [this] { return members(); })
        {
            for (const auto &[address, entry] : {std::pair{firstAddress_, &first_}, std::pair{secondAddress_, &second_}}) {
                // never deleted: its thread runs until the process ends
                auto *listener
                    = new node::ForwardListener(address, [served = entry](const platform::Call &forwarded) { return served->service_.answer(forwarded); });
                CPPUNIT_ASSERT(static_cast<bool>(listener->start()));
            }
        }

        [[nodiscard]] node::Members members() const
        {
            const auto agentAddress = [](const Address &address) { return address.withPort(static_cast<std::uint16_t>(address.port() - 1)); };
            node::Members members;
            members.entries_ = {{"first", agentAddress(firstAddress_)}, {"second", agentAddress(secondAddress_)}};
            return members;
        }

        Address firstAddress_;
        Address secondAddress_;
        Entry first_;
        Entry second_;
        mutable Entry cut_;
    };

    /// The cut entry asks its store once before it forwards a call. It repeats both only if the other entry answers too late.
    void requireOneStoreCallPerForwardedCall(const Pair &entries)
    {
        const std::size_t storeCalls = awayStore_.requestCount();
        while (entries.forwardedCalls_ < storeCalls) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10)); // the last answer may have come before those that were too late
        }
        CPPUNIT_ASSERT_EQUAL(storeCalls, entries.forwardedCalls_.load());
    }

    static platform::Call call(platform::CallMethod method)
    {
        platform::Call call;
        call.method_ = method;
        call.host_ = "h";
        call.path_ = std::string("/n/") + jobId;
        call.timeout_ = hangTimeout;
        return call;
    }

    static platform::Call submission()
    {
        platform::Call submission = call(platform::CallMethod::Submit);
        submission.body_ = R"({"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]})";
        return submission;
    }

    soak::StoreStandIn store_{1};
    soak::StoreStandIn awayStore_{2};
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobServiceTest);

}
