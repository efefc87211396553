import * as $protobuf from "protobufjs";
import Long = require("long");
/** Namespace marblehall. */
export namespace marblehall {

    /** Properties of a Batch. */
    interface IBatch {

        /** Batch messages */
        messages?: (marblehall.IEnvelope[]|null);
    }

    /** Represents a Batch. */
    class Batch implements IBatch {

        /**
         * Constructs a new Batch.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IBatch);

        /** Batch messages. */
        public messages: marblehall.IEnvelope[];

        /**
         * Encodes the specified Batch message. Does not implicitly {@link marblehall.Batch.verify|verify} messages.
         * @param message Batch message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IBatch, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Batch message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Batch
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Batch;

        /**
         * Gets the default type url for Batch
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Envelope. */
    interface IEnvelope {

        /** Envelope hello */
        hello?: (marblehall.IHello|null);

        /** Envelope heartbeat */
        heartbeat?: (marblehall.IHeartbeat|null);

        /** Envelope start */
        start?: (marblehall.IStart|null);

        /** Envelope result */
        result?: (marblehall.IResult|null);

        /** Envelope demand */
        demand?: (marblehall.IDemand|null);

        /** Envelope credit */
        credit?: (marblehall.ICredit|null);

        /** Envelope ack */
        ack?: (marblehall.IAck|null);

        /** Envelope cancel */
        cancel?: (marblehall.ICancel|null);

        /** Envelope sweep */
        sweep?: (marblehall.ISweep|null);

        /** Envelope swept */
        swept?: (marblehall.ISwept|null);

        /** Envelope claim */
        claim?: (marblehall.IClaim|null);

        /** Envelope claimed */
        claimed?: (marblehall.IClaimed|null);

        /** Envelope agentSet */
        agentSet?: (marblehall.IAgentSet|null);

        /** Envelope announce */
        announce?: (marblehall.IAnnounce|null);

        /** Envelope attach */
        attach?: (marblehall.IAttach|null);

        /** Envelope attached */
        attached?: (marblehall.IAttached|null);

        /** Envelope leaving */
        leaving?: (marblehall.ILeaving|null);

        /** Envelope stateRequest */
        stateRequest?: (marblehall.IStateRequest|null);

        /** Envelope stateReply */
        stateReply?: (marblehall.IStateReply|null);

        /** Envelope ask */
        ask?: (marblehall.IAsk|null);

        /** Envelope told */
        told?: (marblehall.ITold|null);

        /** Envelope announced */
        announced?: (marblehall.IAnnounced|null);
    }

    /** Represents an Envelope. */
    class Envelope implements IEnvelope {

        /**
         * Constructs a new Envelope.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IEnvelope);

        /** Envelope hello. */
        public hello?: (marblehall.IHello|null);

        /** Envelope heartbeat. */
        public heartbeat?: (marblehall.IHeartbeat|null);

        /** Envelope start. */
        public start?: (marblehall.IStart|null);

        /** Envelope result. */
        public result?: (marblehall.IResult|null);

        /** Envelope demand. */
        public demand?: (marblehall.IDemand|null);

        /** Envelope credit. */
        public credit?: (marblehall.ICredit|null);

        /** Envelope ack. */
        public ack?: (marblehall.IAck|null);

        /** Envelope cancel. */
        public cancel?: (marblehall.ICancel|null);

        /** Envelope sweep. */
        public sweep?: (marblehall.ISweep|null);

        /** Envelope swept. */
        public swept?: (marblehall.ISwept|null);

        /** Envelope claim. */
        public claim?: (marblehall.IClaim|null);

        /** Envelope claimed. */
        public claimed?: (marblehall.IClaimed|null);

        /** Envelope agentSet. */
        public agentSet?: (marblehall.IAgentSet|null);

        /** Envelope announce. */
        public announce?: (marblehall.IAnnounce|null);

        /** Envelope attach. */
        public attach?: (marblehall.IAttach|null);

        /** Envelope attached. */
        public attached?: (marblehall.IAttached|null);

        /** Envelope leaving. */
        public leaving?: (marblehall.ILeaving|null);

        /** Envelope stateRequest. */
        public stateRequest?: (marblehall.IStateRequest|null);

        /** Envelope stateReply. */
        public stateReply?: (marblehall.IStateReply|null);

        /** Envelope ask. */
        public ask?: (marblehall.IAsk|null);

        /** Envelope told. */
        public told?: (marblehall.ITold|null);

        /** Envelope announced. */
        public announced?: (marblehall.IAnnounced|null);

        /** Envelope body. */
        public body?: ("hello"|"heartbeat"|"start"|"result"|"demand"|"credit"|"ack"|"cancel"|"sweep"|"swept"|"claim"|"claimed"|"agentSet"|"announce"|"attach"|"attached"|"leaving"|"stateRequest"|"stateReply"|"ask"|"told"|"announced");

        /**
         * Encodes the specified Envelope message. Does not implicitly {@link marblehall.Envelope.verify|verify} messages.
         * @param message Envelope message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IEnvelope, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Envelope message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Envelope
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Envelope;

        /**
         * Gets the default type url for Envelope
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Epoch. */
    interface IEpoch {

        /** Epoch version */
        version?: (number|null);

        /** Epoch counter */
        counter?: (number|null);
    }

    /** Represents an Epoch. */
    class Epoch implements IEpoch {

        /**
         * Constructs a new Epoch.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IEpoch);

        /** Epoch version. */
        public version: number;

        /** Epoch counter. */
        public counter: number;

        /**
         * Encodes the specified Epoch message. Does not implicitly {@link marblehall.Epoch.verify|verify} messages.
         * @param message Epoch message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IEpoch, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Epoch message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Epoch
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Epoch;

        /**
         * Gets the default type url for Epoch
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Hello. */
    interface IHello {

        /** Hello peer */
        peer?: (string|null);

        /** Hello role */
        role?: (string|null);

        /** Hello failureDomain */
        failureDomain?: (string|null);

        /** Hello offset */
        offset?: (number|null);

        /** Hello slots */
        slots?: (number|null);

        /** Hello address */
        address?: (string|null);

        /** Hello queued */
        queued?: (number|null);

        /** Hello leaving */
        leaving?: (boolean|null);
    }

    /** Represents a Hello. */
    class Hello implements IHello {

        /**
         * Constructs a new Hello.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IHello);

        /** Hello peer. */
        public peer: string;

        /** Hello role. */
        public role: string;

        /** Hello failureDomain. */
        public failureDomain: string;

        /** Hello offset. */
        public offset: number;

        /** Hello slots. */
        public slots: number;

        /** Hello address. */
        public address: string;

        /** Hello queued. */
        public queued: number;

        /** Hello leaving. */
        public leaving: boolean;

        /**
         * Encodes the specified Hello message. Does not implicitly {@link marblehall.Hello.verify|verify} messages.
         * @param message Hello message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IHello, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Hello message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Hello
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Hello;

        /**
         * Gets the default type url for Hello
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Heartbeat. */
    interface IHeartbeat {

        /** Heartbeat offset */
        offset?: (number|null);

        /** Heartbeat registrarsHeard */
        registrarsHeard?: (number|null);

        /** Heartbeat heardLog */
        heardLog?: (boolean|null);

        /** Heartbeat reply */
        reply?: (boolean|null);

        /** Heartbeat granted */
        granted?: (number|null);
    }

    /** Represents a Heartbeat. */
    class Heartbeat implements IHeartbeat {

        /**
         * Constructs a new Heartbeat.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IHeartbeat);

        /** Heartbeat offset. */
        public offset: number;

        /** Heartbeat registrarsHeard. */
        public registrarsHeard: number;

        /** Heartbeat heardLog. */
        public heardLog: boolean;

        /** Heartbeat reply. */
        public reply: boolean;

        /** Heartbeat granted. */
        public granted: number;

        /**
         * Encodes the specified Heartbeat message. Does not implicitly {@link marblehall.Heartbeat.verify|verify} messages.
         * @param message Heartbeat message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IHeartbeat, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Heartbeat message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Heartbeat
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Heartbeat;

        /**
         * Gets the default type url for Heartbeat
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Start. */
    interface IStart {

        /** Start job */
        job?: (string|null);

        /** Start createdAt */
        createdAt?: (number|null);

        /** Start epoch */
        epoch?: (marblehall.IEpoch|null);

        /** Start index */
        index?: (number|null);

        /** Start attempt */
        attempt?: (number|null);

        /** Start kind */
        kind?: (string|null);

        /** Start body */
        body?: (string|null);

        /** Start deadline */
        deadline?: (number|null);

        /** Start rank */
        rank?: (number|null);

        /** Start used */
        used?: (number|null);

        /** Start waiting */
        waiting?: (number|null);

        /** Start headRank */
        headRank?: (number|null);

        /** Start again */
        again?: (boolean|null);
    }

    /** Represents a Start. */
    class Start implements IStart {

        /**
         * Constructs a new Start.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IStart);

        /** Start job. */
        public job: string;

        /** Start createdAt. */
        public createdAt: number;

        /** Start epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /** Start index. */
        public index: number;

        /** Start attempt. */
        public attempt: number;

        /** Start kind. */
        public kind: string;

        /** Start body. */
        public body: string;

        /** Start deadline. */
        public deadline: number;

        /** Start rank. */
        public rank: number;

        /** Start used. */
        public used: number;

        /** Start waiting. */
        public waiting: number;

        /** Start headRank. */
        public headRank: number;

        /** Start again. */
        public again: boolean;

        /**
         * Encodes the specified Start message. Does not implicitly {@link marblehall.Start.verify|verify} messages.
         * @param message Start message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IStart, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Start message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Start
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Start;

        /**
         * Gets the default type url for Start
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Result. */
    interface IResult {

        /** Result job */
        job?: (string|null);

        /** Result epoch */
        epoch?: (marblehall.IEpoch|null);

        /** Result index */
        index?: (number|null);

        /** Result attempt */
        attempt?: (number|null);

        /** Result state */
        state?: (string|null);

        /** Result status */
        status?: (number|null);

        /** Result body */
        body?: (string|null);

        /** Result reason */
        reason?: (string|null);

        /** Result granted */
        granted?: (number|null);

        /** Result workMs */
        workMs?: (number|null);
    }

    /** Represents a Result. */
    class Result implements IResult {

        /**
         * Constructs a new Result.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IResult);

        /** Result job. */
        public job: string;

        /** Result epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /** Result index. */
        public index: number;

        /** Result attempt. */
        public attempt: number;

        /** Result state. */
        public state: string;

        /** Result status. */
        public status: number;

        /** Result body. */
        public body: string;

        /** Result reason. */
        public reason: string;

        /** Result granted. */
        public granted: number;

        /** Result workMs. */
        public workMs: number;

        /**
         * Encodes the specified Result message. Does not implicitly {@link marblehall.Result.verify|verify} messages.
         * @param message Result message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IResult, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Result message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Result
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Result;

        /**
         * Gets the default type url for Result
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Demand. */
    interface IDemand {

        /** Demand waiting */
        waiting?: (number|null);

        /** Demand headRank */
        headRank?: (number|null);

        /** Demand used */
        used?: (number|null);
    }

    /** Represents a Demand. */
    class Demand implements IDemand {

        /**
         * Constructs a new Demand.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IDemand);

        /** Demand waiting. */
        public waiting: number;

        /** Demand headRank. */
        public headRank: number;

        /** Demand used. */
        public used: number;

        /**
         * Encodes the specified Demand message. Does not implicitly {@link marblehall.Demand.verify|verify} messages.
         * @param message Demand message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IDemand, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Demand message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Demand
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Demand;

        /**
         * Gets the default type url for Demand
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Credit. */
    interface ICredit {

        /** Credit granted */
        granted?: (number|null);
    }

    /** Represents a Credit. */
    class Credit implements ICredit {

        /**
         * Constructs a new Credit.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ICredit);

        /** Credit granted. */
        public granted: number;

        /**
         * Encodes the specified Credit message. Does not implicitly {@link marblehall.Credit.verify|verify} messages.
         * @param message Credit message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ICredit, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Credit message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Credit
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Credit;

        /**
         * Gets the default type url for Credit
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an AckedJob. */
    interface IAckedJob {

        /** AckedJob job */
        job?: (string|null);

        /** AckedJob indexes */
        indexes?: (number[]|null);
    }

    /** Represents an AckedJob. */
    class AckedJob implements IAckedJob {

        /**
         * Constructs a new AckedJob.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAckedJob);

        /** AckedJob job. */
        public job: string;

        /** AckedJob indexes. */
        public indexes: number[];

        /**
         * Encodes the specified AckedJob message. Does not implicitly {@link marblehall.AckedJob.verify|verify} messages.
         * @param message AckedJob message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAckedJob, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an AckedJob message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns AckedJob
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.AckedJob;

        /**
         * Gets the default type url for AckedJob
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Ack. */
    interface IAck {

        /** Ack jobs */
        jobs?: (marblehall.IAckedJob[]|null);
    }

    /** Represents an Ack. */
    class Ack implements IAck {

        /**
         * Constructs a new Ack.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAck);

        /** Ack jobs. */
        public jobs: marblehall.IAckedJob[];

        /**
         * Encodes the specified Ack message. Does not implicitly {@link marblehall.Ack.verify|verify} messages.
         * @param message Ack message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAck, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Ack message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Ack
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Ack;

        /**
         * Gets the default type url for Ack
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Cancel. */
    interface ICancel {

        /** Cancel job */
        job?: (string|null);

        /** Cancel epoch */
        epoch?: (marblehall.IEpoch|null);
    }

    /** Represents a Cancel. */
    class Cancel implements ICancel {

        /**
         * Constructs a new Cancel.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ICancel);

        /** Cancel job. */
        public job: string;

        /** Cancel epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /**
         * Encodes the specified Cancel message. Does not implicitly {@link marblehall.Cancel.verify|verify} messages.
         * @param message Cancel message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ICancel, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Cancel message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Cancel
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Cancel;

        /**
         * Gets the default type url for Cancel
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Sweep. */
    interface ISweep {

        /** Sweep job */
        job?: (string|null);

        /** Sweep createdAt */
        createdAt?: (number|null);

        /** Sweep epoch */
        epoch?: (marblehall.IEpoch|null);
    }

    /** Represents a Sweep. */
    class Sweep implements ISweep {

        /**
         * Constructs a new Sweep.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ISweep);

        /** Sweep job. */
        public job: string;

        /** Sweep createdAt. */
        public createdAt: number;

        /** Sweep epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /**
         * Encodes the specified Sweep message. Does not implicitly {@link marblehall.Sweep.verify|verify} messages.
         * @param message Sweep message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ISweep, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Sweep message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Sweep
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Sweep;

        /**
         * Gets the default type url for Sweep
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a SweptTask. */
    interface ISweptTask {

        /** SweptTask index */
        index?: (number|null);

        /** SweptTask attempt */
        attempt?: (number|null);

        /** SweptTask state */
        state?: (string|null);

        /** SweptTask status */
        status?: (number|null);

        /** SweptTask body */
        body?: (string|null);

        /** SweptTask hasBody */
        hasBody?: (boolean|null);
    }

    /** Represents a SweptTask. */
    class SweptTask implements ISweptTask {

        /**
         * Constructs a new SweptTask.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ISweptTask);

        /** SweptTask index. */
        public index: number;

        /** SweptTask attempt. */
        public attempt: number;

        /** SweptTask state. */
        public state: string;

        /** SweptTask status. */
        public status: number;

        /** SweptTask body. */
        public body: string;

        /** SweptTask hasBody. */
        public hasBody: boolean;

        /**
         * Encodes the specified SweptTask message. Does not implicitly {@link marblehall.SweptTask.verify|verify} messages.
         * @param message SweptTask message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ISweptTask, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a SweptTask message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns SweptTask
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.SweptTask;

        /**
         * Gets the default type url for SweptTask
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Swept. */
    interface ISwept {

        /** Swept job */
        job?: (string|null);

        /** Swept epoch */
        epoch?: (marblehall.IEpoch|null);

        /** Swept fenced */
        fenced?: (boolean|null);

        /** Swept tasks */
        tasks?: (marblehall.ISweptTask[]|null);
    }

    /** Represents a Swept. */
    class Swept implements ISwept {

        /**
         * Constructs a new Swept.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ISwept);

        /** Swept job. */
        public job: string;

        /** Swept epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /** Swept fenced. */
        public fenced: boolean;

        /** Swept tasks. */
        public tasks: marblehall.ISweptTask[];

        /**
         * Encodes the specified Swept message. Does not implicitly {@link marblehall.Swept.verify|verify} messages.
         * @param message Swept message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ISwept, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Swept message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Swept
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Swept;

        /**
         * Gets the default type url for Swept
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Claim. */
    interface IClaim {

        /** Claim id */
        id?: (number|null);

        /** Claim job */
        job?: (string|null);

        /** Claim createdAt */
        createdAt?: (number|null);

        /** Claim digest */
        digest?: (string|null);

        /** Claim setId */
        setId?: (number|null);

        /** Claim mode */
        mode?: (string|null);

        /** Claim expected */
        expected?: (marblehall.IEpoch|null);

        /** Claim offset */
        offset?: (number|null);
    }

    /** Represents a Claim. */
    class Claim implements IClaim {

        /**
         * Constructs a new Claim.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IClaim);

        /** Claim id. */
        public id: number;

        /** Claim job. */
        public job: string;

        /** Claim createdAt. */
        public createdAt: number;

        /** Claim digest. */
        public digest: string;

        /** Claim setId. */
        public setId: number;

        /** Claim mode. */
        public mode: string;

        /** Claim expected. */
        public expected?: (marblehall.IEpoch|null);

        /** Claim offset. */
        public offset: number;

        /**
         * Encodes the specified Claim message. Does not implicitly {@link marblehall.Claim.verify|verify} messages.
         * @param message Claim message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IClaim, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Claim message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Claim
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Claim;

        /**
         * Gets the default type url for Claim
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Claimed. */
    interface IClaimed {

        /** Claimed id */
        id?: (number|null);

        /** Claimed job */
        job?: (string|null);

        /** Claimed outcome */
        outcome?: (string|null);

        /** Claimed epoch */
        epoch?: (marblehall.IEpoch|null);

        /** Claimed owner */
        owner?: (string|null);

        /** Claimed members */
        members?: (string[]|null);

        /** Claimed digest */
        digest?: (string|null);
    }

    /** Represents a Claimed. */
    class Claimed implements IClaimed {

        /**
         * Constructs a new Claimed.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IClaimed);

        /** Claimed id. */
        public id: number;

        /** Claimed job. */
        public job: string;

        /** Claimed outcome. */
        public outcome: string;

        /** Claimed epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /** Claimed owner. */
        public owner: string;

        /** Claimed members. */
        public members: string[];

        /** Claimed digest. */
        public digest: string;

        /**
         * Encodes the specified Claimed message. Does not implicitly {@link marblehall.Claimed.verify|verify} messages.
         * @param message Claimed message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IClaimed, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Claimed message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Claimed
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Claimed;

        /**
         * Gets the default type url for Claimed
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an AgentSet. */
    interface IAgentSet {

        /** AgentSet setId */
        setId?: (number|null);

        /** AgentSet members */
        members?: (string[]|null);
    }

    /** Represents an AgentSet. */
    class AgentSet implements IAgentSet {

        /**
         * Constructs a new AgentSet.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAgentSet);

        /** AgentSet setId. */
        public setId: number;

        /** AgentSet members. */
        public members: string[];

        /**
         * Encodes the specified AgentSet message. Does not implicitly {@link marblehall.AgentSet.verify|verify} messages.
         * @param message AgentSet message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAgentSet, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an AgentSet message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns AgentSet
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.AgentSet;

        /**
         * Gets the default type url for AgentSet
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an OwnedClaim. */
    interface IOwnedClaim {

        /** OwnedClaim job */
        job?: (string|null);

        /** OwnedClaim createdAt */
        createdAt?: (number|null);

        /** OwnedClaim epoch */
        epoch?: (marblehall.IEpoch|null);

        /** OwnedClaim digest */
        digest?: (string|null);

        /** OwnedClaim setId */
        setId?: (number|null);

        /** OwnedClaim members */
        members?: (string[]|null);
    }

    /** Represents an OwnedClaim. */
    class OwnedClaim implements IOwnedClaim {

        /**
         * Constructs a new OwnedClaim.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IOwnedClaim);

        /** OwnedClaim job. */
        public job: string;

        /** OwnedClaim createdAt. */
        public createdAt: number;

        /** OwnedClaim epoch. */
        public epoch?: (marblehall.IEpoch|null);

        /** OwnedClaim digest. */
        public digest: string;

        /** OwnedClaim setId. */
        public setId: number;

        /** OwnedClaim members. */
        public members: string[];

        /**
         * Encodes the specified OwnedClaim message. Does not implicitly {@link marblehall.OwnedClaim.verify|verify} messages.
         * @param message OwnedClaim message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IOwnedClaim, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an OwnedClaim message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns OwnedClaim
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.OwnedClaim;

        /**
         * Gets the default type url for OwnedClaim
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Announce. */
    interface IAnnounce {

        /** Announce offset */
        offset?: (number|null);

        /** Announce claims */
        claims?: (marblehall.IOwnedClaim[]|null);

        /** Announce id */
        id?: (number|null);

        /** Announce part */
        part?: (number|null);

        /** Announce parts */
        parts?: (number|null);
    }

    /** Represents an Announce. */
    class Announce implements IAnnounce {

        /**
         * Constructs a new Announce.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAnnounce);

        /** Announce offset. */
        public offset: number;

        /** Announce claims. */
        public claims: marblehall.IOwnedClaim[];

        /** Announce id. */
        public id: number;

        /** Announce part. */
        public part: number;

        /** Announce parts. */
        public parts: number;

        /**
         * Encodes the specified Announce message. Does not implicitly {@link marblehall.Announce.verify|verify} messages.
         * @param message Announce message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAnnounce, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Announce message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Announce
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Announce;

        /**
         * Gets the default type url for Announce
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Attach. */
    interface IAttach {

        /** Attach id */
        id?: (number|null);

        /** Attach job */
        job?: (string|null);

        /** Attach digest */
        digest?: (string|null);
    }

    /** Represents an Attach. */
    class Attach implements IAttach {

        /**
         * Constructs a new Attach.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAttach);

        /** Attach id. */
        public id: number;

        /** Attach job. */
        public job: string;

        /** Attach digest. */
        public digest: string;

        /**
         * Encodes the specified Attach message. Does not implicitly {@link marblehall.Attach.verify|verify} messages.
         * @param message Attach message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAttach, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Attach message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Attach
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Attach;

        /**
         * Gets the default type url for Attach
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Attached. */
    interface IAttached {

        /** Attached id */
        id?: (number|null);

        /** Attached job */
        job?: (string|null);

        /** Attached state */
        state?: (string|null);

        /** Attached answer */
        answer?: (string|null);
    }

    /** Represents an Attached. */
    class Attached implements IAttached {

        /**
         * Constructs a new Attached.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAttached);

        /** Attached id. */
        public id: number;

        /** Attached job. */
        public job: string;

        /** Attached state. */
        public state: string;

        /** Attached answer. */
        public answer: string;

        /**
         * Encodes the specified Attached message. Does not implicitly {@link marblehall.Attached.verify|verify} messages.
         * @param message Attached message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAttached, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Attached message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Attached
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Attached;

        /**
         * Gets the default type url for Attached
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Leaving. */
    interface ILeaving {

        /** Leaving done */
        done?: (boolean|null);
    }

    /** Represents a Leaving. */
    class Leaving implements ILeaving {

        /**
         * Constructs a new Leaving.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ILeaving);

        /** Leaving done. */
        public done: boolean;

        /**
         * Encodes the specified Leaving message. Does not implicitly {@link marblehall.Leaving.verify|verify} messages.
         * @param message Leaving message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ILeaving, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Leaving message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Leaving
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Leaving;

        /**
         * Gets the default type url for Leaving
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a StateRequest. */
    interface IStateRequest {

        /** StateRequest offset */
        offset?: (number|null);
    }

    /** Represents a StateRequest. */
    class StateRequest implements IStateRequest {

        /**
         * Constructs a new StateRequest.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IStateRequest);

        /** StateRequest offset. */
        public offset: number;

        /**
         * Encodes the specified StateRequest message. Does not implicitly {@link marblehall.StateRequest.verify|verify} messages.
         * @param message StateRequest message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IStateRequest, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a StateRequest message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns StateRequest
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.StateRequest;

        /**
         * Gets the default type url for StateRequest
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a StateReply. */
    interface IStateReply {

        /** StateReply offset */
        offset?: (number|null);

        /** StateReply state */
        state?: (string|null);
    }

    /** Represents a StateReply. */
    class StateReply implements IStateReply {

        /**
         * Constructs a new StateReply.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IStateReply);

        /** StateReply offset. */
        public offset: number;

        /** StateReply state. */
        public state: string;

        /**
         * Encodes the specified StateReply message. Does not implicitly {@link marblehall.StateReply.verify|verify} messages.
         * @param message StateReply message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IStateReply, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a StateReply message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns StateReply
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.StateReply;

        /**
         * Gets the default type url for StateReply
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Ask. */
    interface IAsk {

        /** Ask id */
        id?: (number|null);

        /** Ask text */
        text?: (string|null);
    }

    /** Represents an Ask. */
    class Ask implements IAsk {

        /**
         * Constructs a new Ask.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAsk);

        /** Ask id. */
        public id: number;

        /** Ask text. */
        public text: string;

        /**
         * Encodes the specified Ask message. Does not implicitly {@link marblehall.Ask.verify|verify} messages.
         * @param message Ask message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAsk, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Ask message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Ask
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Ask;

        /**
         * Gets the default type url for Ask
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of a Told. */
    interface ITold {

        /** Told id */
        id?: (number|null);

        /** Told text */
        text?: (string|null);
    }

    /** Represents a Told. */
    class Told implements ITold {

        /**
         * Constructs a new Told.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.ITold);

        /** Told id. */
        public id: number;

        /** Told text. */
        public text: string;

        /**
         * Encodes the specified Told message. Does not implicitly {@link marblehall.Told.verify|verify} messages.
         * @param message Told message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.ITold, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes a Told message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Told
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Told;

        /**
         * Gets the default type url for Told
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }

    /** Properties of an Announced. */
    interface IAnnounced {

        /** Announced offset */
        offset?: (number|null);
    }

    /** Represents an Announced. */
    class Announced implements IAnnounced {

        /**
         * Constructs a new Announced.
         * @param [properties] Properties to set
         */
        constructor(properties?: marblehall.IAnnounced);

        /** Announced offset. */
        public offset: number;

        /**
         * Encodes the specified Announced message. Does not implicitly {@link marblehall.Announced.verify|verify} messages.
         * @param message Announced message or plain object to encode
         * @param [writer] Writer to encode to
         * @returns Writer
         */
        public static encode(message: marblehall.IAnnounced, writer?: $protobuf.Writer): $protobuf.Writer;

        /**
         * Decodes an Announced message from the specified reader or buffer.
         * @param reader Reader or buffer to decode from
         * @param [length] Message length if known beforehand
         * @returns Announced
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        public static decode(reader: ($protobuf.Reader|Uint8Array), length?: number): marblehall.Announced;

        /**
         * Gets the default type url for Announced
         * @param [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns The default type url
         */
        public static getTypeUrl(typeUrlPrefix?: string): string;
    }
}
